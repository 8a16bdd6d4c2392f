//! Man pages and completions against the programs' own help.

use std::collections::BTreeSet;
use std::env;
use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;

use rstest::rstest;

fn help(program: &str, arguments: &[&str]) -> String {
    let own = env::current_exe().unwrap();
    let folders = own.ancestors().skip(1).take(2);
    let path: PathBuf =
        folders.map(|folder| folder.join(program)).find(|path| path.is_file()).unwrap();
    let output = Command::new(path).args(arguments).arg("--help").output().unwrap();
    let text = [output.stdout, output.stderr].concat();
    String::from_utf8(text).unwrap()
}

fn extra(path: &str) -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../extra");
    fs::read_to_string(folder.join(path)).unwrap()
}

/// Returns the long options of a help text.
fn options(help: &str) -> BTreeSet<String> {
    let lines = help.lines().filter(|line| line.trim_start().starts_with('-'));
    let words = lines.flat_map(|line| line.split_whitespace().take(2));
    words.filter(|word| word.starts_with("--")).map(str::to_owned).collect()
}

/// Returns the commands of a help text.
fn commands(help: &str) -> Vec<String> {
    let listed = help.lines().skip_while(|line| !line.starts_with("Available commands"));
    let first = listed.skip(1).filter_map(|line| line.split_whitespace().next());
    first.map(str::to_owned).collect()
}

#[rstest]
#[case("chicoryloom", 0)]
#[case("chicoryloom-gateway", 0)]
#[case("chicoryctl", 11)]
#[case("chicoryloom-load", 5)]
#[case("chicoryloom-standin", 3)]
fn options_and_commands_are_in_man_page_and_completions(
    #[case] program: &str,
    #[case] least_commands: usize,
) {
    let man = extra(&format!("man/{program}.1")).replace("\\-", "-");
    let bash = extra(&format!("completions/{program}.bash"));
    let zsh = extra(&format!("completions/_{program}"));
    let main = help(program, &[]);
    let commands = commands(&main);
    assert!(commands.len() >= least_commands, "{main}");
    let mut all = options(&main);
    assert!(!all.is_empty(), "{main}");
    for command in &commands {
        assert!(man.contains(&format!(".SS {command}")), "{command} is not in the man page");
        assert!(bash.contains(&format!("{command})")), "{command} is not in bash's completions");
        assert!(zsh.contains(&format!("{command})")), "{command} is not in zsh's completions");
        all.extend(options(&help(program, &[command])));
    }
    for option in all {
        assert!(man.contains(&option), "{option} is not in the man page");
        assert!(bash.contains(&option), "{option} is not in bash's completions");
        assert!(zsh.contains(&option), "{option} is not in zsh's completions");
    }
}
