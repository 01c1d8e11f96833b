//! Tests and benchmarks that compare the wire parsers of this workspace with independent crates. They are in
//! a separate package because those crates bring dependencies (tokio, OpenSSL) that the product does not use.
//! The package is not a default member of the workspace; CI runs it.
