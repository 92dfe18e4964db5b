//! A small fleet: the project's processes with the command of the deploy file, one beside each
//! server, on loopback addresses.

use crate::record::Record;
use crate::server::Server;
use crate::store::Store;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

pub const OUTBOUND: u16 = 8629;
pub const READY: u16 = 8625;
pub const CONTROL: u16 = 8620;
pub const INBOUND: u16 = 8624;
pub const APP: u16 = 8628;
pub const STORE: u16 = 8627;

/// What distinguishes the deployments.
#[derive(Clone)]
pub struct Site {
    pub zones: &'static [&'static str],
    pub region: &'static str,
    /// Service of each machine, in order; machines are spread over the zones in turn.
    pub machines: &'static [&'static str],
    /// Slots of each server.
    pub slots: usize,
    pub memory_mb: u64,
    pub max_fds: u64,
    pub bounds: &'static str,
    /// Rules of the configuration, without the names of the clusters.
    pub rules: &'static str,
    pub host: &'static str,
}

/// Processes that were started and may still run.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn end_all() {
    let started = STARTED.lock().map_or_else(|e| e.into_inner().clone(), |pids| pids.clone());
    for pid in started {
        let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).status();
    }
}

pub struct Machine {
    pub name: String,
    pub ip: String,
    pub zone: String,
    pub service: String,
    settings: PathBuf,
    process: Option<Child>,
    starts: u32,
    pub server: Option<Server>,
}

impl Machine {
    pub fn at(&self, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip).parse().expect("an address")
    }

    pub fn is_ready(&self) -> bool {
        let get = || -> io::Result<bool> {
            let second = Duration::from_secs(1);
            let mut stream = TcpStream::connect_timeout(&self.at(READY), second)?;
            stream.set_read_timeout(Some(second))?;
            stream
                .write_all(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer)?;
            Ok(answer.split_whitespace().nth(1) == Some("200"))
        };
        get().unwrap_or(false)
    }
}

pub struct Fleet {
    pub site: Site,
    pub store: Store,
    pub machines: Vec<Machine>,
    pub record: Record,
    dir: PathBuf,
    program: PathBuf,
}

impl Fleet {
    /// Starts the store, all processes and all servers, writes the first configuration, and waits
    /// until each machine gets answers from each service.
    pub fn start(site: Site, record: Record) -> io::Result<Fleet> {
        let program = std::env::current_dir()?.join("target/release/fescuemux-node");
        if !program.is_file() {
            return Err(io::Error::other("target/release/fescuemux-node is not built"));
        }
        let pid = std::process::id();
        let (net, store) = (0..200)
            .find_map(|attempt| {
                let second = 20 + (pid + attempt * 7) % 200;
                let third = (pid / 200 + attempt) % 250;
                let net = format!("127.{second}.{third}");
                let addr: SocketAddr = format!("{net}.250:{STORE}").parse().ok()?;
                TcpListener::bind(format!("{net}.1:{OUTBOUND}")).ok()?;
                Some((net, Store::start(addr).ok()?))
            })
            .ok_or_else(|| io::Error::other("no free addresses"))?;
        let dir = std::env::temp_dir().join(format!("review-2-{pid}"));
        std::fs::create_dir_all(&dir)?;
        let mut fleet = Fleet { site, store, machines: Vec::new(), record, dir, program };
        fleet.write_config(7, "");
        for (index, service) in fleet.site.machines.iter().enumerate() {
            let zone = fleet.site.zones[index % fleet.site.zones.len()];
            let name = format!("app_host-{zone}-{}", index + 1);
            let machine = Machine {
                ip: format!("{net}.{}", index + 1),
                zone: zone.to_owned(),
                service: (*service).to_owned(),
                settings: fleet.dir.join(format!("{name}.json")),
                process: None,
                starts: 0,
                server: None,
                name,
            };
            fleet.machines.push(machine);
            fleet.write_settings(index, service)?;
        }
        for index in 0..fleet.machines.len() {
            fleet.start_process(index)?;
        }
        for index in 0..fleet.machines.len() {
            fleet.start_server(index, Duration::ZERO)?;
        }
        fleet.await_ready()?;
        Ok(fleet)
    }

    fn write_settings(&self, index: usize, service: &str) -> io::Result<()> {
        let Machine { name, ip, zone, settings, starts, .. } = &self.machines[index];
        let Site { region, memory_mb, max_fds, bounds, zones, .. } = &self.site;
        let zones: Vec<_> = zones.iter().map(|z| format!(r#""{z}":"{region}""#)).collect();
        let zones = zones.join(",");
        let (bootstrap, store) = (*starts == 0, self.store.addr);
        let text = format!(
            r#"{{"self":{{"node":"{name}","role":"node","class":"app_host","serves":["app_host"],"ip":"{ip}","zone":"{zone}","region":"{region}","loss_counts":false,"bootstrap":{bootstrap},"data_dir":null,"limits":{{"cpu_share":0.2,"cores":1,"memory_mb":{memory_mb},"max_fds":{max_fds},"link_mbps":1000.0,"disk_mb":0}},"app_addr":"{ip}:{APP}","service":"{service}"}},
"net":{{"listen":{{"inbound":"{ip}:{INBOUND}","outbound":"{ip}:{OUTBOUND}","ready":"{ip}:{READY}","control":"{ip}:{CONTROL}"}},"port_range":[7600,7615],"seeds":[],"zones":{{{zones}}}}},
"platform":{{"discovery":"static","entry":"static","heartbeat":"1500ms","platform":{{"addr":"{store}","form":"kv","writes_per_s":400,"reads_per_s":2000,"history":"20s","value_bytes":1048576,"ttl_min":"1000ms"}}}},
"terms":{{"contracts":["base","drain","config","cost","retry","recover","health","platform"],"tolerate":{{"machines":1,"zones":0,"regions":0}},"bounds":{{{bounds}}}}}}}"#
        );
        std::fs::write(settings, text)
    }

    /// Writes a configuration of the operator; `more` holds further rules, each with a comma before.
    pub fn write_config(&self, version: u32, more: &str) {
        let mut services: Vec<_> = self.site.machines.to_vec();
        services.sort_unstable();
        services.dedup();
        let clusters = services.iter().map(|service| {
            format!(r#"{{"name":"{service}","health_path":"/healthz","max_conns":330,"proto":"h1","tls":false}}"#)
        });
        let clusters: Vec<_> = clusters.collect();
        let (host, rules) = (self.site.host, self.site.rules);
        let config = format!(
            r#"{{"version":"{version:08x}","limits":{{"header_bytes":16384,"body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}},"listeners":[{{"host":"{host}","rules":[{rules}{more}]}}],"clusters":[{}]}}"#,
            clusters.join(",")
        );
        self.store.put("op/config", config.as_bytes());
    }

    /// Starts the process of a machine with the command of the deploy file.
    pub fn start_process(&mut self, index: usize) -> io::Result<()> {
        let service = self.machines[index].service.clone();
        self.write_settings(index, &service)?;
        let machine = &mut self.machines[index];
        let log = self.dir.join(format!("{}-{}.log", machine.name, machine.starts));
        let process = Command::new(&self.program)
            .env("FESCUEMUX_BOOT", &machine.settings)
            .stdout(Stdio::from(std::fs::File::create(log)?))
            .spawn()?;
        STARTED.lock().unwrap().push(process.id());
        self.record.line(&format!("process of {} starts", machine.name));
        machine.starts += 1;
        machine.process = Some(process);
        Ok(())
    }

    /// Returns the server of a machine.
    pub fn server(&self, index: usize) -> &Server {
        self.machines[index].server.as_ref().expect("a server")
    }

    pub fn start_server(&mut self, index: usize, clock_ahead: Duration) -> io::Result<()> {
        let (record, slots) = (self.record.clone(), self.site.slots);
        let machine = &mut self.machines[index];
        let id = format!("i-{:08x}", 0x7f3a_91c0 + index);
        let (addr, control) = (machine.at(APP), machine.at(CONTROL));
        let server = Server::start(
            &id,
            &machine.service,
            &machine.zone,
            addr,
            control,
            slots,
            clock_ahead,
            record,
        )?;
        machine.server = Some(server);
        Ok(())
    }

    fn await_ready(&mut self) -> io::Result<()> {
        let started = Instant::now();
        while !self.machines.iter().all(Machine::is_ready) {
            if started.elapsed() > Duration::from_secs(20) {
                return Err(io::Error::other("the machines are not ready in 20 s"));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        // Servers have told of themselves within two heartbeats; machines learn of each other from a
        // list after half a second and after three more.
        std::thread::sleep(Duration::from_secs(8).saturating_sub(started.elapsed()));
        Ok(())
    }
}

/// Takes a process that has ended from the list, as its id may be given out again.
fn forget(pid: u32) {
    STARTED.lock().unwrap().retain(|other| *other != pid);
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            if let Some(mut process) = machine.process.take() {
                let _ = process.kill();
                let _ = process.wait();
                forget(process.id());
            }
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        } else {
            println!("logs in {}", self.dir.display());
        }
    }
}
