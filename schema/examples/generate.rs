//! Generates the Rust code of the messages from the `.proto` files. Writes it to `FOLDER`, by
//! default `schema/src/generated`: `cargo run -p pollentally-schema --example generate [FOLDER]`.

#[path = "../tests/generator/mod.rs"]
mod generator;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let folder = std::env::args()
        .nth(1)
        .unwrap_or_else(|| concat!(env!("CARGO_MANIFEST_DIR"), "/src/generated").into());
    generator::generate(std::path::Path::new(&folder))?;
    println!("wrote the generated code to {folder}");
    Ok(())
}
