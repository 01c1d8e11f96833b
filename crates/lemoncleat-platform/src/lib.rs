//! What the operators' platform says, without I/O: settings of a site, names, entries of the list of servers,
//! load reports and a node's configuration. The bench's adapter and the access node on the platform share it,
//! so that both tell the module the same.

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
pub use report::{diagnosis, reason_of_code, report_of_text, set_figure};
pub use settings::SiteSettings;
