//! Tests of the command line and of invalid configurations.

use crate::helper::*;

fn error_output(arguments: &[&str]) -> String {
    let output = output(arguments);
    assert!(!output.status.success());
    String::from_utf8(output.stderr).unwrap()
}

#[test]
fn the_version_command_prints_the_package_version() {
    let version = output(&["version"]).stdout;
    assert_eq!(String::from_utf8(version).unwrap(), format!("oakwind {}\n", env!("CARGO_PKG_VERSION")));
}

#[test]
fn an_invalid_configuration_fails_serve_and_check_config_with_one_line_naming_the_key() {
    let good = config(r#""vm": "127.0.0.1:1","#);
    let uwsgi = file("bad.toml", "listen = 'here'\n");
    let paths: Vec<_> = [good.replace("30000,", "\"soon\","), good.replace("\"vm\"", "\"mv\"")]
        .iter()
        .map(|text| file("bad.json", text))
        .collect();
    let good = file("good.json", &good);
    for command in ["serve", "check-config"] {
        for (config, key) in [(&paths[0], "soon"), (&paths[1], "vm"), (&good, "listen")] {
            let mut arguments = vec![command, "--config", config.to_str().unwrap()];
            if key == "listen" {
                arguments.extend(["--uwsgi", uwsgi.to_str().unwrap()]);
            }
            let line = error_output(&arguments);
            assert!(
                line.starts_with("oakwind: ") && line.lines().count() == 1 && line.contains(key),
                "{line}"
            );
        }
    }
    assert!(error_output(&["serve"]).contains("BALANCER_CONFIG"));
    let checked = output(&["check-config", "--config", good.to_str().unwrap()]);
    assert!(checked.status.success());
    assert_eq!(String::from_utf8(checked.stdout).unwrap(), "n1: can be served\n");
}

#[test]
fn bundled_configuration_files_pass_check_config() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/..");
    let platform = file("platform.json", &config(r#""vm": "127.0.0.1:1","#));
    let example = format!("{root}/examples/config.json");
    for (config, uwsgi) in
        [(platform.to_str().unwrap(), "deploy/uwsgi.toml"), (&example, "examples/uwsgi.toml")]
    {
        let checked = output(&["check-config", "--config", config, "--uwsgi", &format!("{root}/{uwsgi}")]);
        assert!(checked.status.success(), "{uwsgi}: {}", String::from_utf8_lossy(&checked.stderr));
    }
}
