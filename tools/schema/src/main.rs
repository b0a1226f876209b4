//! Generates the Rust code of the caller and operator interface.
//!
//! Run from the repository root: `cargo run --manifest-path tools/schema/Cargo.toml`.

const SCHEMA_FILE: &str = "proto/pistachiowick.proto";
const OUTPUT_DIR: &str = "src/pb";

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let descriptors = protox::compile([SCHEMA_FILE], ["proto"])?;
    std::fs::create_dir_all(OUTPUT_DIR)?;
    tonic_prost_build::configure()
        .out_dir(OUTPUT_DIR)
        .compile_fds(descriptors)?;
    Ok(())
}
