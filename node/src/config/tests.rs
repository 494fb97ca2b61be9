use super::*;

const MINIMAL: &str = r#"{"name": "n1", "listen": "127.0.0.1:0", "seed": "8c1f", "stop_ms": 3000,
    "settings": {"services": [{"name": "quote", "slo": 1, "deadline": 2, "effect": "repeatable"}],
    "specifics": {"cores": 2, "memoryKb": 64.5}, "safety": {"drainGrace": 8, "fallMultiple": 3}}}"#;

/// A change that makes a valid file invalid, and the key that the error must name.
struct InvalidChange {
    from: &'static str,
    to: &'static str,
    key: &'static str,
}

const fn change(from: &'static str, to: &'static str, key: &'static str) -> InvalidChange {
    InvalidChange { from, to, key }
}

/// Fails unless the error after each change is one line that names the key.
fn assert_errors_name_keys<F: OperatorsFile + std::fmt::Debug>(valid: &str, changes: &[InvalidChange]) {
    for InvalidChange { from, to, key } in changes {
        let line = F::parse(&valid.replace(from, to)).unwrap_err().to_string();
        assert!(line.contains(key) && !line.contains('\n'), "{line:?} names {key}");
    }
}

/// The error of the minimal configuration after a change.
fn error_after(from: &str, to: &str) -> String {
    assert!(MINIMAL.contains(from));
    NodeConfig::parse(&MINIMAL.replace(from, to)).unwrap_err().to_string()
}

#[test]
fn a_configuration_without_optional_keys_is_valid() {
    let config = NodeConfig::parse(MINIMAL).unwrap();
    assert_eq!((config.seed, config.max_descriptors, config.upstreams.interpreter), (0x8c1f, 1024, None));
    assert_eq!(config.settings.classes, ["quote"]);
}

#[test]
fn an_error_is_one_line_that_names_the_key() {
    let cases = [
        (r#""name": "n1", "#, "", "`name`"),
        ("127.0.0.1:0", "nowhere", "listen"),
        ("8c1f", "xyz", "seed"),
        (r#""cores": 2, "#, "", "cores"),
        ("repeatable", "sometimes", "effect"),
        (r#""stop_ms""#, r#""limits": {"sockets": 3}, "stop_ms""#, "limits.sockets"),
        ("}}}", "}}} {", "trailing"),
        ("3000", r#""soon""#, "stop_ms"),
        (r#""stop_ms""#, r#""limits": {"sockets": "few"}, "stop_ms""#, "limits.sockets"),
        (r#""slo": 1,"#, r#""slo": -1,"#, "services[0].slo"),
        (r#""deadline": 2"#, r#""deadline": 0"#, "services[0].deadline"),
        (r#""deadline": 2"#, r#""deadline": "soon""#, "services[0].deadline"),
        (r#""deadline": 2"#, r#""deadline": null"#, "services[0].deadline"),
        (r#""deadline": 2, "#, "", "deadline"),
        ("repeatable", "by_key", "services[0].window"),
    ];
    for (from, to, key) in cases {
        let line = error_after(from, to);
        assert!(line.contains(key) && !line.contains('\n'), "{line:?} names {key}");
    }
}

#[test]
fn a_key_of_the_previous_configuration_is_found_missing_at_any_depth() {
    let before = MINIMAL.replace(r#""effect""#, r#""lateWorth": 0.5, "effect""#).replace(
        "}]",
        r#"}, {"name": "book", "slo": 1, "deadline": 2, "effect": "by_key", "window": 9, "worth": 2}], "tenants": []"#,
    );
    let first_missing_key = |from: &str, to: &str| {
        assert!(before.contains(from));
        let now = NodeConfig::parse(&before.replace(from, to)).unwrap();
        now.first_missing_key(&NodeConfig::parse(&before).unwrap())
    };
    assert_eq!(first_missing_key("quote", "price"), None);
    assert_eq!(first_missing_key(r#", "tenants": []"#, ""), Some("settings.tenants".into()));
    assert_eq!(first_missing_key(r#""name": "book", "#, ""), Some("settings.services.1.name".into()));
    assert_eq!(first_missing_key(r#""lateWorth": 0.5, "#, ""), None, "not every class had it");
}

#[test]
fn an_error_of_a_result_store_file_is_one_line_that_names_the_key() {
    let valid = "folder = '/var/lib/oakwind'\nfile_mb = 8\n";
    assert_eq!(ResultStoreConfig::parse(valid).unwrap().max_batch, 1024);
    let changes = [
        change("folder = '/var/lib/oakwind'", "", "folder"),
        change("'/var", "'var", "folder"),
        change("8", "1", "file_mb"),
        change("8", "8\nbatch = 0", "batch"),
        change("8", "8\nsurprise = 1", "surprise"),
    ];
    assert_errors_name_keys::<ResultStoreConfig>(valid, &changes);
}

#[test]
fn an_error_of_a_uwsgi_file_is_one_line_that_names_the_key() {
    let valid = "listen = '127.0.0.1:0'\n[vrrp]\nvrid = 7\naddresses = ['127.0.1.1']\n\
                listen = '127.0.0.1:0'\npeers = []\n";
    assert_eq!(UwsgiConfig::parse(valid).unwrap().vrrp.unwrap().priority, 100);
    let changes = [
        change("vrid = 7", "vrid = 0", "vrrp.vrid"),
        change("vrid = 7", "", "vrid"),
        change("vrid = 7", "vrid = 7\ninterval_ms = 5", "vrrp.interval_ms"),
        change("peers = []", "peers = ['x']", "vrrp.peers"),
        change("peers = []", "peers = 3", "vrrp.peers"),
        change("[vrrp]", "surprise = 1\n[vrrp]", "surprise"),
    ];
    assert_errors_name_keys::<UwsgiConfig>(valid, &changes);
}

#[test]
fn an_error_of_a_decision_log_file_is_one_line_that_names_the_key() {
    let valid = "folder = '/var/lib/oakwind'\nfile_mb = 8\n";
    assert_eq!(DecisionLogConfig::parse(valid).unwrap().max_files, 8);
    let changes = [
        change("'/var/lib/oakwind'", "'here'", "records file, folder"),
        change("8", "0", "records file, file_mb"),
        change("8", "1025", "records file, file_mb"),
        change("8", "8\nfiles = 1", "records file, files"),
        change("8", "8\nfiles = 1001", "records file, files"),
        change("8", "8\nsurprise = 1", "surprise"),
    ];
    assert_errors_name_keys::<DecisionLogConfig>(valid, &changes);
}

/// Guards the defaults on which operators rely.
#[test]
fn keys_that_are_left_out_have_their_documented_defaults() {
    let store = ResultStoreConfig::parse("folder = '/f'\n").unwrap();
    assert_eq!((store.max_bytes, store.max_batch), (64 << 20, 1024));
    let log = DecisionLogConfig::parse("folder = '/f'\n").unwrap();
    assert_eq!((log.max_file_bytes, log.max_files), (8 << 20, 8));
    let fleet = FleetConfig::parse(
        "name = 'n1'\nlisten = '127.0.0.1:1'\nfolder = '/f'\n[list]\nnumber = 1\nwindow_ms = 3000\n\
         [[list.member]]\nname = 'n1'\naddress = '127.0.0.1:1'\n",
    )
    .unwrap();
    assert_eq!((fleet.max_replica_bytes, fleet.max_links), (64 << 20, 128));
    assert_eq!(fleet.transfer_bytes_per_second, 16_000_000);
    assert_eq!(fleet.probe_interval.as_millis(), 500);
    assert_eq!(fleet.vote_store, Some(ResultStoreConfig { folder: "/f".into(), ..store }));
}
