//! Daemons in processes of their own.

use super::{CLUSTER_KEY, TOKEN};
use std::collections::HashMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

/// Daemon in a process of its own, which is killed when this value is dropped.
pub(crate) struct Process {
    pub(crate) child: Child,
    pub(crate) callers: SocketAddr,
    pub(crate) local: SocketAddr,
    pub(crate) rpc: SocketAddr,
    pub(crate) operators: SocketAddr,
    pub(crate) settings_path: PathBuf,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings_path);
    }
}

/// Sends a signal to a daemon. `name` is an option of `kill`, such as `-TERM`.
pub(crate) fn signal(child: &Child, name: &str) {
    let status = Command::new("kill").arg(name).arg(child.id().to_string()).status().unwrap();
    assert!(status.success());
}

/// Reads the log of a daemon until the line with the daemon's addresses, and returns these by name.
fn read_addresses(child: &mut Child) -> HashMap<String, SocketAddr> {
    let mut log = BufReader::new(child.stderr.take().unwrap());
    let mut line = String::new();
    loop {
        line.clear();
        assert!(log.read_line(&mut line).unwrap() > 0, "the daemon ended before it started");
        if !line.contains("daemon started") {
            continue;
        }
        // The rest of the log must be read; otherwise the daemon blocks when the pipe is full.
        std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
        let fields = line.split_once("Addresses {").unwrap().1.split_once('}').unwrap().0;
        let field = |field: &str| {
            let (name, addr) = field.split_once(": ").unwrap();
            (name.trim().to_owned(), addr.trim().parse().unwrap())
        };
        return fields.split(',').map(field).collect();
    }
}

/// Starts a daemon, whose name must differ from those of other processes of the test.
pub(crate) fn start(name: &str, store: SocketAddr, seeds: &[SocketAddr]) -> Process {
    let any = "127.0.0.1:0";
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    let text = format!(
        r#"{{ // settings of a test
            "instance": "{name}", "domain": "d", "region": "r",
            "listen": {{ "callers": "{any}", "hop": "{any}", "rpc": "{any}",
                        "local": "{any}", "operators": "{any}" }},
            "store": {{ "addresses": ["{store}"] }},
            "cluster_keys": ["{CLUSTER_KEY}"],
            "operators": [{{ "name": "test", "token": "{TOKEN}" }}],
            "seeds": [{}], "log": {{ "level": "info", "format": "text" }} }}"#,
        seeds.join(",")
    );
    let file_name = format!("fescuemuxd-{}-{name}.jsonc", std::process::id());
    let settings_path = std::env::temp_dir().join(file_name);
    std::fs::write(&settings_path, text).unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_fescuemuxd"))
        .arg("--config")
        .arg(&settings_path)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let addresses = read_addresses(&mut child);
    let (callers, local) = (addresses["callers"], addresses["local"]);
    Process {
        child,
        callers,
        local,
        rpc: addresses["rpc"],
        operators: addresses["operators"],
        settings_path,
    }
}
