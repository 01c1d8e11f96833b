//! Data formats of the operators' platform, without I/O: site settings, names, entries of the server list,
//! load reports and a node's configuration. The simulator's adapter and the access node on the platform share
//! this crate, so that both pass the same data to the decision module.

mod config;
mod journal;
mod json;
mod list;
mod names;
mod report;
mod settings;

pub use config::{Limits, NodeConfig};
pub use journal::{number_of_line, read_line, JournalLine};
pub use list::{Endpoint, ListedServer, ServerNews};
pub use names::Names;
pub use report::{diagnosis, reason_from_code, report_of_text, set_report_value};
pub use settings::SiteSettings;
