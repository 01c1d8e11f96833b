//! With the feature `faults`, builds a copy of the decision module with one constant changed, for tests that
//! run such a module under an unchanged version.

use std::path::Path;

fn main() {
    println!("cargo:rerun-if-changed=build.rs");
    if std::env::var_os("CARGO_FEATURE_FAULTS").is_none() {
        return;
    }
    let sources = Path::new("../lemoncleat/src");
    let out = std::env::var("OUT_DIR").expect("OUT_DIR is set by cargo");
    let mut text = String::new();
    for file in ["random.rs", "state.rs", "departed.rs", "decide.rs"] {
        let path = sources.join(file);
        println!("cargo:rerun-if-changed={}", path.display());
        let source = std::fs::read_to_string(&path).expect("the module's sources can be read");
        // Leaves out the module's own tests and the list of its sources.
        let source = source.split("#[cfg(test)]").next().unwrap_or_default();
        let mut module = String::new();
        let mut skip = false;
        for line in source.lines() {
            skip |= line.starts_with("pub const SOURCES");
            if !skip && !line.starts_with("//!") {
                module += line;
                module.push('\n');
            }
            skip &= line != "];";
        }
        let module = module
            .replace("crate::interface::", "lemoncleat::")
            .replace("use crate::", "use super::")
            .replace("pub(crate)", "pub");
        let (name, _) = file.split_once('.').expect("a file name with an extension");
        let serde = if name == "decide" { "use serde::{Deserialize, Serialize};\n" } else { "" };
        text += &format!("pub mod {name} {{\n{serde}{module}}}\n");
    }
    let changed = text.replacen("const OWN_SEND_SHARE: f64 = 0.5;", "const OWN_SEND_SHARE: f64 = 0.55;", 1);
    assert_ne!(changed, text, "the constant to change is no longer there");
    std::fs::write(Path::new(&out).join("patched.rs"), changed).expect("patched.rs can be written");
}
