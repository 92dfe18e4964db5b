//! Exit codes of `fescuemux load`.

use fescuemux_standins::server::{ServerFault, ServerOptions, StandInServer};
use std::process::Command;

/// Fails if the exit code does not tell a failed run from a successful run, or a usage error from a
/// failed check.
#[test]
fn exit_codes_tell_results_apart() {
    struct Case {
        fault: ServerFault,
        arguments: &'static str,
        code: i32,
    }
    let cases = [
        Case { fault: ServerFault::None, arguments: "", code: 0 },
        Case { fault: ServerFault::Errors(1.0), arguments: "", code: 0 },
        Case { fault: ServerFault::WrongResponse(1.0), arguments: "", code: 1 },
        Case { fault: ServerFault::LostResponse(1.0), arguments: "", code: 1 },
        Case { fault: ServerFault::None, arguments: "--rate 0", code: 2 },
        Case { fault: ServerFault::None, arguments: "--target t=127.0.0.1:1", code: 2 },
    ];
    for Case { fault, arguments, code } in cases {
        let options = ServerOptions { slots: 1000, ..ServerOptions::default() };
        let server = StandInServer::start(options).expect("the stand-in server starts");
        server.set_fault(fault.clone());
        let target = format!("t={}", server.addr());
        let output = Command::new(env!("CARGO_BIN_EXE_fescuemux"))
            .args(["load", "--target", &target, "--duration", "200ms", "--warm-up", "0s"])
            .args(arguments.split_whitespace())
            .output()
            .expect("the command runs");
        assert_eq!(output.status.code(), Some(code), "{fault:?} {arguments}: {output:?}");
    }
}
