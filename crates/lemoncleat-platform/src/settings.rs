//! The settings of a site in the format of the simulator and the platform, and their conversion into settings
//! of the decision module.

use lemoncleat::{Class, DedupGroup, Effect, Membership, Micros, Settings};
use serde::Deserialize;

#[derive(Deserialize)]
pub(crate) struct SettingsConfig {
    balancers: u32,
    slot_no: u32,
    #[serde(default)]
    azs: Vec<String>,
    classes: Vec<ClassConfig>,
    family_info: FamilyInfo,
    invariants: Invariants,
    limits: Limits,
    membership_mode: Mode,
    #[serde(default)]
    report: ReportConfig,
    #[serde(default)]
    resolution_us: Micros,
}

#[derive(Deserialize)]
struct ClassConfig {
    name: String,
    aim_us: Micros,
    deadline_us: Micros,
    worth: f64,
    #[serde(default)]
    late_worth: f64,
    effect: EffectConfig,
    #[serde(default)]
    group: GroupConfig,
    #[serde(default)]
    dedup_window_us: Micros,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum EffectConfig {
    Retryable,
    Dedup,
    Fragile,
}

#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
enum GroupConfig {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Mode {
    Automatic,
    Subscribe,
}

#[derive(Deserialize)]
struct FamilyInfo {
    layout: Layout,
    home_no: i64,
    #[serde(default)]
    allowed_pools: Vec<Vec<i64>>,
    #[serde(default)]
    call_length_us: Vec<Micros>,
    #[serde(default)]
    guard_us: Micros,
    #[serde(default)]
    repeat_us: Micros,
    #[serde(default)]
    tells_wait: bool,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Layout {
    Meshed,
    Groups,
}

#[derive(Deserialize)]
struct Invariants {
    cold_from: f64,
    cold_us: Micros,
    tip_multiple: f64,
    fall_us: Micros,
}

#[derive(Deserialize)]
struct Limits {
    #[serde(default)]
    cancelling: bool,
    #[serde(default)]
    probes: bool,
    #[serde(default)]
    peer_messages: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    max_retry_after_us: Micros,
    most_tries: u32,
    #[serde(default)]
    dial_timeout_us: Micros,
    #[serde(default)]
    most_held: u32,
}

#[derive(Default, Deserialize)]
struct ReportConfig {
    #[serde(default)]
    names: Vec<String>,
}

/// The settings of a site, for a host and its controller.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteSettings {
    /// The settings of the controller.
    pub module: Settings,
    /// The names of the classes, in order.
    pub classes: Vec<String>,
    /// The names of the zones, in order.
    pub zones: Vec<String>,
    /// The names of the values of a load report, in order.
    pub report: Vec<String>,
    /// A server counts as unreachable if connecting takes longer than this; 0 if not configured.
    pub dial_timeout: Micros,
    /// Maximum number of unanswered calls that a node may hold; 0 if not configured.
    pub most_held: u32,
}

impl SiteSettings {
    /// Reads settings from JSON. Unknown keys are ignored.
    ///
    /// # Errors
    ///
    /// Fails if the text is not JSON, or if a field is missing or invalid. The error gives line, column and
    /// the path of the field.
    pub fn read(text: &str) -> Result<Self, String> {
        let config: SettingsConfig = crate::json::read(text)?;
        config.check()?;
        Ok(config.translate())
    }
}

impl SettingsConfig {
    /// Rejects ambiguous settings. Calls of a class without a list of pools could go to any pool, and of two
    /// classes with the same name only one could be addressed.
    ///
    /// # Errors
    ///
    /// The error gives the path of the field within the settings, the expected value and the actual value.
    pub(crate) fn check(&self) -> Result<(), String> {
        for (index, class) in self.classes.iter().enumerate() {
            if let Some(other) = self.classes[..index].iter().position(|other| other.name == class.name) {
                let name = &class.name;
                return Err(format!(
                    "classes[{index}].name: expected a name of its own, got {name:?} of classes[{other}]"
                ));
            }
        }
        let (pools, classes) = (self.family_info.allowed_pools.len(), self.classes.len());
        let grouped = matches!(self.family_info.layout, Layout::Groups);
        if grouped && pools > 0 && pools < classes {
            return Err(format!(
                "family_info.allowed_pools: expected a list for each of {classes} classes, got {pools}"
            ));
        }
        Ok(())
    }

    pub(crate) fn translate(self) -> SiteSettings {
        let config = self;
        let family = &config.family_info;
        let pools = matches!(family.layout, Layout::Groups);
        let class = |(index, class): (usize, &ClassConfig)| Class {
            aim: class.aim_us,
            deadline: class.deadline_us,
            worth: class.worth,
            late_worth: class.late_worth,
            length: family.call_length_us.get(index).copied().unwrap_or(0),
            effect: match class.effect {
                EffectConfig::Retryable => Effect::Safe,
                EffectConfig::Dedup => Effect::Dedup,
                EffectConfig::Fragile => Effect::Fragile,
            },
            dedup_group: match class.group {
                GroupConfig::All => DedupGroup::All,
                GroupConfig::Zone => DedupGroup::Zone,
                GroupConfig::Cell => DedupGroup::Cell,
            },
            dedup_window: class.dedup_window_us,
            allowed: if pools { family.allowed_pools.get(index).cloned() } else { None },
        };
        let module = Settings {
            classes: config.classes.iter().enumerate().map(class).collect(),
            balancers: config.balancers,
            own_number: config.slot_no,
            home: (!pools).then_some(family.home_no),
            repeat: family.repeat_us,
            release: family.guard_us,
            tells_wait: family.tells_wait,
            membership: match config.membership_mode {
                Mode::Automatic => Membership::Automatic,
                Mode::Subscribe => Membership::Subscribe,
            },
            max_attempts: config.limits.most_tries,
            max_retry_hint: config.limits.retry_after.then_some(config.limits.max_retry_after_us),
            may_cancel: config.limits.cancelling,
            may_probe: config.limits.probes,
            may_tell: config.limits.peer_messages,
            cold_from: config.invariants.cold_from,
            cold_span: config.invariants.cold_us,
            fall_multiple: config.invariants.tip_multiple,
            fall_span: config.invariants.fall_us,
            resolution: config.resolution_us,
        };
        SiteSettings {
            module,
            dial_timeout: config.limits.dial_timeout_us,
            most_held: config.limits.most_held,
            classes: config.classes.into_iter().map(|class| class.name).collect(),
            zones: config.azs,
            report: config.report.names,
        }
    }
}
