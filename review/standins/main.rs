//! Stand-ins and drivers of the review's scripts. Usage: `standins CASE PROGRAM FOLDER TROUBLE`.

mod door;
mod drain;
mod http;
mod json;
mod lease;
mod memory;
mod moves;
mod store;
mod world;

use std::{env, path::PathBuf, process::exit};

fn main() {
    let args: Vec<String> = env::args().collect();
    let [_, case, program, folder, trouble] = &args[..] else {
        eprintln!("usage: standins CASE PROGRAM FOLDER TROUBLE");
        exit(2);
    };
    let (program, folder) = (PathBuf::from(program), PathBuf::from(folder));
    let has_trouble = trouble != "0";
    let broken = match case.as_str() {
        "door" => door::run(&program, &folder, has_trouble),
        "drain" => drain::run(&program, &folder, has_trouble),
        "lease" => lease::run(&program, &folder, has_trouble),
        "memory" => memory::run(&program, &folder, has_trouble),
        "moves" => moves::run(&program, &folder, has_trouble),
        _ => None,
    };
    exit(match broken {
        None => 2,
        Some(true) => 1,
        Some(false) => 0,
    });
}
