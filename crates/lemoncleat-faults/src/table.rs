//! The table of all points. A number is never reused for another point.

use crate::{Fault, Point};

use Fault::{Cut, CutIn, CutOut, Error, Kill, Pause};

macro_rules! points {
    ($($number:literal $name:ident $package:literal $what:literal [$($fault:ident)*];)*) => {
        $(
            #[doc = concat!("Point ", $number, ": ", $what, ".")]
            pub static $name: Point = Point {
                number: $number,
                name: stringify!($name),
                package: $package,
                what: $what,
                faults: &[$($fault),*],
            };
        )*
        /// All points, by number.
        pub static POINTS: &[&Point] = &[$(&$name),*];
    };
}

points! {
    // The voters' store.
    1 STORE_OPEN "agreement" "a store is about to be read at a start" [Kill Error Pause];
    2 STORE_WRITE "agreement" "a batch of promises is about to be written" [Kill Error Pause];
    3 STORE_SYNC "agreement" "what was written is about to be made durable" [Kill Error Pause];
    4 STORE_SYNCED "agreement" "the write is durable, and the core has not been notified" [Kill Pause];
    5 STORE_SNAPSHOT "agreement" "a snapshot is about to be written" [Kill Error Pause];
    6 STORE_TRIM "agreement" "entries that a snapshot holds are about to be removed" [Kill Error Pause];
    // The replicated log.
    20 AGREE_SEND "agreement" "a message that depends on durable promises is about to be sent" [Kill Pause Cut CutOut CutIn];
    21 AGREE_HEAR "agreement" "a message from another voter is about to be processed" [Kill Pause Cut CutOut CutIn];
    22 AGREE_LEAD "agreement" "another leader is about to be accepted" [Kill Pause Cut CutOut CutIn];
    23 AGREE_PROPOSE "agreement" "a command is about to be proposed" [Kill Pause Cut CutOut CutIn];
    24 AGREE_DECIDED "agreement" "a committed command is about to be delivered" [Kill Pause Cut CutOut CutIn];
    // Members and facts.
    40 FLEET_SEND "fleet" "a message to a member is about to be sent" [Kill Pause Cut CutOut CutIn];
    41 FLEET_HEAR "fleet" "a message from a member is about to be processed" [Kill Pause Cut CutOut CutIn];
    42 FLEET_SUSPECT "fleet" "a member is about to be suspected" [Kill Pause Cut CutOut CutIn];
    43 FLEET_GONE "fleet" "a member is about to be declared gone" [Kill Pause Cut CutOut CutIn];
    44 FLEET_ALIVE "fleet" "a member is about to be declared alive" [Kill Pause Cut CutOut CutIn];
    45 FLEET_REFUTE "fleet" "a suspicion of the process itself is about to be refuted" [Kill Pause Cut CutOut CutIn];
    46 FLEET_FACT "fleet" "a newer fact of another member is about to be accepted" [Kill Pause Cut CutOut CutIn];
    47 FLEET_PUBLISH "fleet" "a fact of this node is about to be published" [Kill Pause Cut CutOut CutIn];
    // Zones.
    60 ZONE_EVIDENCE "zones" "evidence of other nodes is about to be evaluated" [Kill Pause Cut CutOut CutIn];
    61 ZONE_PROPOSE "zones" "a step is about to be proposed to the fleet" [Kill Pause Cut CutOut CutIn];
    62 ZONE_STEP "zones" "a step of the fleet is about to take effect" [Kill Pause Cut CutOut CutIn];
    63 ZONE_TRIAL "zones" "trial calls to a zone that was left are about to be allowed" [Kill Pause Cut CutOut CutIn];
    64 ZONE_RETURN "zones" "a zone is about to get a larger share" [Kill Pause Cut CutOut CutIn];
    65 ZONE_RELAPSE "zones" "a return to a zone is about to be reduced" [Kill Pause Cut CutOut CutIn];
    // Consistency of decisions.
    80 RULES_VERSION "consistency" "a version of the rules is about to be told" [Kill Pause Cut CutOut CutIn];
    81 RULES_ROOT "consistency" "another node's root is about to be compared" [Kill Pause Cut CutOut CutIn];
    82 RULES_DESCEND "consistency" "a part of the tree is about to be requested" [Kill Pause Cut CutOut CutIn];
    83 RULES_SEAL "consistency" "a window of real work is about to be sealed" [Kill Pause Cut CutOut CutIn];
    84 RULES_PLAY "consistency" "another node's window is about to be played again" [Kill Pause Cut CutOut CutIn];
    85 RULES_VERDICT "consistency" "a conclusion about a node is about to take effect" [Kill Pause Cut CutOut CutIn];
    86 RULES_FENCE "consistency" "the node is about to fence itself" [Kill Pause Cut CutOut CutIn];
    // The prepaid balance.
    100 CREDIT_ASK "credit" "a grant is about to be requested" [Kill Pause Cut CutOut CutIn];
    101 CREDIT_APPLY "credit" "an agreed order is about to change the ledger" [Kill Pause];
    102 CREDIT_TAKE "credit" "a committed grant is about to be stored" [Kill Pause Cut CutOut CutIn];
    103 CREDIT_RESERVE "credit" "a call's money is about to be reserved from a grant" [Kill Pause Cut CutOut CutIn];
    104 CREDIT_CHARGE "credit" "a call's time is about to be charged to a grant" [Kill Pause Cut CutOut CutIn];
    105 CREDIT_SETTLE "credit" "a settlement is about to be proposed" [Kill Pause Cut CutOut CutIn];
    106 CREDIT_RETURN "credit" "unused units of a grant are about to be returned" [Kill Pause Cut CutOut CutIn];
    107 CREDIT_TOP_UP "credit" "an operator's top-up is about to be proposed" [Kill Pause Cut CutOut CutIn];
    108 CREDIT_REFUSE "credit" "a call is about to be refused for want of money" [Kill Pause Cut CutOut CutIn];
}
