use super::*;

fn from_options(options: &[&str]) -> Result<Programs, ProgramOptionError> {
    let options: Vec<String> = options.iter().map(ToString::to_string).collect();
    Programs::from_options(PathBuf::from("/beside/oakwind"), &options)
}

#[test]
fn default_build_is_beside_the_harness_unless_an_option_overrides_it() {
    let programs = from_options(&["old=/builds/old"]).unwrap();
    assert_eq!(programs.named(None).unwrap().path, PathBuf::from("/beside/oakwind"));
    assert_eq!(programs.named(Some("old")).unwrap().path, PathBuf::from("/builds/old"));
    let programs = from_options(&["default=/builds/new"]).unwrap();
    assert_eq!(programs.named(None).unwrap().path, PathBuf::from("/builds/new"));
}

#[test]
fn words_after_the_path_are_arguments_of_the_build() {
    let programs = from_options(&["bad=/builds/harness --mutant=answers-twice --verbose"]).unwrap();
    let build = programs.named(Some("bad")).unwrap();
    assert_eq!(build.path, PathBuf::from("/builds/harness"));
    assert_eq!(build.arguments, ["--mutant=answers-twice", "--verbose"]);
}

#[test]
fn option_without_a_path_and_unknown_build_name_are_errors() {
    let error = from_options(&["old=/builds/old", "/builds/new"]).unwrap_err();
    assert_eq!(error.to_string(), "--program /builds/new: expected NAME=PATH");
    let error = from_options(&[]).unwrap().named(Some("old")).unwrap_err();
    assert_eq!(
        error.to_string(),
        "the scenario names the build \"old\", but there is no option --program old=PATH"
    );
}
