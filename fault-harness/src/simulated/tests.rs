use super::*;

/// Reads commands until the end of the input, or until one that is malformed.
fn read_all(mut input: &[u8]) -> Vec<Command> {
    let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    runtime.block_on(async {
        let mut commands = Vec::new();
        while let Some(command) = Command::read(&mut input).await {
            commands.push(command);
        }
        commands
    })
}

#[test]
fn a_command_is_parsed_into_name_arguments_and_body() {
    let commands = read_all(b"APPLY 1f book 4\r\nbody\r\nBREAK 1f\r\n");
    assert_eq!(commands.len(), 2);
    let [apply, pause] = &commands[..] else { unreachable!() };
    assert_eq!((apply.name(), apply.txn(), apply.argument(1)), ("APPLY", Some(0x1f), Some("book")));
    assert_eq!((apply.argument_count(), &apply.body[..]), (3, &b"body"[..]));
    assert_eq!((pause.name(), pause.txn(), pause.argument(1)), ("BREAK", Some(0x1f), None));
    assert!(pause.body.is_empty());
}

#[test]
fn a_transaction_id_that_is_not_hexadecimal_is_rejected() {
    let commands = read_all(b"BREAK xyz\r\nTOP\r\n");
    assert!(commands.iter().all(|command| command.txn().is_none()));
    assert_eq!(commands.len(), 2);
}

#[test]
fn an_unterminated_line_and_a_truncated_or_oversized_body_are_malformed() {
    assert!(read_all(b"BREAK 1f\n").is_empty());
    assert!(read_all(b"BREAK 1f").is_empty());
    assert!(read_all(b"APPLY 1f book 4\r\nbo").is_empty());
    let too_long = format!("APPLY 1f book {}\r\n", MAX_COMMAND_BYTES + 1);
    assert!(read_all(too_long.as_bytes()).is_empty());
}
