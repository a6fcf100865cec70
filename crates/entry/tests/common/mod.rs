//! Fleet whose entries are separate processes that can be killed, paused and resumed.
#![allow(dead_code, reason = "each test file uses a part of the fixtures")]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use control::Controller;
use http::Method;
use http::StatusCode;
use rig::Call;
use rig::RigConfig;
use rig::Standins;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;

/// An entry in a process of its own.
pub(crate) struct Entry {
    pub(crate) addr: SocketAddr,
    file: PathBuf,
    child: Child,
}

impl Entry {
    fn spawn(file: PathBuf, addr: SocketAddr) -> Self {
        let child = Command::new(env!("CARGO_BIN_EXE_snipeway-entry"))
            .arg("--config")
            .arg(&file)
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        Self { addr, file, child }
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).unwrap();
    }

    /// Kills the process, as a crash does.
    pub(crate) fn kill(&mut self) {
        self.signal(Signal::KILL);
        self.child.wait().unwrap();
    }

    /// Starts the entry again after it was killed.
    pub(crate) fn restart(&mut self) {
        *self = Self::spawn(self.file.clone(), self.addr);
    }

    /// Suspends the process.
    pub(crate) fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes the process after a pause.
    pub(crate) fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks the process to shut down gracefully.
    pub(crate) fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// The most memory that the process has had at any time, in bytes.
    pub(crate) fn peak_memory(&self) -> usize {
        let status = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(status).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = line.unwrap().trim().trim_end_matches(" kB");
        kilobytes.parse::<usize>().unwrap() << 10
    }

    /// Returns whether the process runs.
    pub(crate) fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the process exits, and returns whether it exited with success.
    pub(crate) async fn wait_exit(&mut self) -> bool {
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.success();
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until the entry is ready, that is, has the contracts of the fleet.
    pub(crate) async fn wait_ready(&self) {
        for _ in 0..1_000 {
            let probe = Call::new(self.addr, "-", Method::GET, "/readyz");
            let answer = probe.send().await;
            if answer.is_ok_and(|answer| answer.status == StatusCode::OK) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("the entry at {} is not ready", self.addr);
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for entry in &self.entries {
            let _ = std::fs::remove_file(&entry.file);
        }
    }
}

/// Fleet whose stand-ins run in this process and whose entries run in processes of their own.
pub(crate) struct Fleet {
    pub(crate) parts: Standins,
    pub(crate) entries: Vec<Entry>,
    /// Controllers of the entries; they run in this process.
    _controls: Vec<Controller>,
}

/// Returns an address with a port that is currently unused.
fn unused_addr() -> SocketAddr {
    let socket = std::net::TcpListener::bind(("127.0.0.1", 0)).unwrap();
    socket.local_addr().unwrap()
}

impl Fleet {
    pub(crate) async fn start(options: &RigConfig) -> Self {
        let parts = Standins::start(options).await.unwrap();
        let contracts = operate::Contracts::new(plat::Client::new(vec![parts.platform.host.addr]));
        for text in &options.contracts {
            let contract = contract::ini::parse("test", text).unwrap();
            contracts.apply("test", None, contract).await.unwrap();
        }
        let mut shared = parts.shared.clone();
        let mut peers = Vec::new();
        for domain in &options.domains {
            for index in 0..options.entries {
                let (name, addr) = (format!("{domain}-{index}"), unused_addr());
                shared += &format!("[peer {name}]\ndomain = {domain}\naddress = {addr}\n");
                peers.push((name, *domain, addr));
            }
        }
        let mut entries = Vec::new();
        let mut controls = Vec::new();
        for (name, domain, addr) in peers {
            let own = format!("[instance]\nname = {name}\ndomain = {domain}\nlisten = {addr}\n");
            let file = std::env::temp_dir().join(format!("snipeway-test-{}.ini", addr.port()));
            let settings = format!("{shared}{own}");
            std::fs::write(&file, &settings).unwrap();
            let settings = serve::settings::read(&name, &settings).unwrap();
            controls.push(Controller::start(&settings, addr));
            entries.push(Entry::spawn(file, addr));
        }
        let fleet = Self {
            parts,
            entries,
            _controls: controls,
        };
        for entry in &fleet.entries {
            entry.wait_ready().await;
        }
        fleet
    }

    pub(crate) fn addrs(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.addr).collect()
    }
}
