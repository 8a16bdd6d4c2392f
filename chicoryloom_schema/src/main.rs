//! Writes the generated wire types anew.

use std::fs;
use std::process::ExitCode;

fn main() -> ExitCode {
    for name in chicoryloom_schema::NAMES {
        let code = match chicoryloom_schema::generate(name) {
            Ok(code) => code,
            Err(error) => {
                eprintln!("chicoryloom-schema: {error}");
                return ExitCode::FAILURE;
            }
        };
        let path = chicoryloom_schema::code(name);
        if let Err(error) = fs::write(&path, code) {
            eprintln!("chicoryloom-schema: {}: {error}", path.display());
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
