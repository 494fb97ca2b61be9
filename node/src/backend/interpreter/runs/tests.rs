use super::*;
use oakwind_admission::{CallerId, ClassId, TenantId};
use std::time::Duration;

fn runs() -> Runs {
    let settings = r#"{"services": [{"name": "book", "slo": 1, "deadline": 2, "effect": "by_key"}],
        "specifics": {"cores": 2, "memoryKb": 64.5}, "safety": {"drainGrace": 8, "fallMultiple": 3}}"#;
    Runs::new(Rc::new(ClassRegistry::new(oakwind_settings::parse(settings).unwrap())))
}

fn run(txn: &'static str) -> RunCommand {
    RunCommand::Run(Rc::new(Request {
        txn: txn.into(),
        class: ClassId(0),
        tenant: TenantId(0),
        key: None,
        caller: CallerId(1),
        cost_hint: None,
        memory_kb: 1.0,
        rank: 0.0,
        received_at: Duration::ZERO,
        stated_receipt: None,
        deadline: Duration::ZERO,
        body: Bytes::from("body"),
    }))
}

/// Records the commands and returns the messages that are sent on a new link.
fn encoded(runs: &mut Runs, commands: &[RunCommand]) -> String {
    commands.iter().for_each(|command| runs.record(command));
    let mut output = BytesMut::new();
    runs.encode_all(&mut output);
    String::from_utf8(output.to_vec()).unwrap()
}

#[test]
fn commands_are_sent_again_until_the_end_of_their_run_has_been_read() {
    let mut runs = runs();
    let (first, second) = (TransactionId::from("a1"), TransactionId::from("a2"));
    let started = encoded(&mut runs, &[run("a1"), run("a2"), RunCommand::Stop(second.clone())]);
    assert_eq!(started, "APPLY a1 book 4\r\nbody\r\nAPPLY a2 book 4\r\nbody\r\nBREAK a2\r\n");
    assert!(runs.remove(&second) && !runs.remove(&second));
    assert_eq!(encoded(&mut runs, &[RunCommand::Stop(second)]), "APPLY a1 book 4\r\nbody\r\n");
    assert_eq!(runs.remove_all(), [first]);
    assert_eq!(encoded(&mut runs, &[RunCommand::Gauges]), "");
}

#[test]
fn the_result_of_a_call_is_sent_again_until_the_run_makes_another_call() {
    let mut runs = runs();
    let txn = TransactionId::from("a1");
    runs.record(&run("a1"));
    runs.await_call(&txn, 7);
    let reply = RunCommand::Resolve { txn: txn.clone(), reply: Bytes::from("r") };
    assert_eq!(encoded(&mut runs, &[reply]), "APPLY a1 book 4\r\nbody\r\nRESOLVE a1 1\r\nr\r\n");
    runs.await_call(&txn, 8);
    assert_eq!(encoded(&mut runs, &[]), "APPLY a1 book 4\r\nbody\r\n");
    assert_eq!(encoded(&mut runs, &[RunCommand::Skip(txn)]), "APPLY a1 book 4\r\nbody\r\nSTUB a1 8\r\n");
}
