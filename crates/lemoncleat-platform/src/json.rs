//! JSON parsing with the path of the field in every error.

use serde::de::DeserializeOwned;

/// Parses a complete JSON text.
pub(crate) fn read<T: DeserializeOwned>(text: &str) -> Result<T, String> {
    let mut json = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut json).map_err(|error| {
        let path = error.path().to_string();
        // No path is known at the top level or if the text is truncated.
        if matches!(path.as_str(), "." | "?") {
            error.inner().to_string()
        } else {
            format!("{path}: {}", error.inner())
        }
    })?;
    json.end().map_err(|error| error.to_string())?;
    Ok(value)
}
