//! The entry process.

use clap::Parser;
use geraniumrelay::Settings;

fn main() -> anyhow::Result<()> {
    geraniumrelay::run(&Settings::parse())
}
