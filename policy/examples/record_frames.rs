//! Prints frames and datagrams between daemons in hex, one a line with its name. The output of a build is
//! kept in `policy/tests/frames`, named by the commit: `cargo run -p pollentally-policy --example
//! record_frames > policy/tests/frames/COMMIT.txt`.

#[path = "../tests/frames/mod.rs"]
mod frames;

fn main() {
    for (name, bytes) in frames::common().into_iter().chain(frames::relays()) {
        println!("{name} {}", hex::encode(bytes));
    }
}
