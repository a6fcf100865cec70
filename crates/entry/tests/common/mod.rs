//! Entries as processes of their own, that can be killed, stopped and resumed.

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

/// An entry as a process.
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

    /// Kills it, as a crash does.
    pub(crate) fn kill(&mut self) {
        self.signal(Signal::KILL);
        self.child.wait().unwrap();
    }

    /// Starts it again after it was killed.
    pub(crate) fn restart(&mut self) {
        *self = Self::spawn(self.file.clone(), self.addr);
    }

    /// Stops it in the middle of whatever it does.
    pub(crate) fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets it go on.
    pub(crate) fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Tells it to leave.
    pub(crate) fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits until it ends; tells whether it ended well.
    pub(crate) async fn ended(&mut self) -> bool {
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.success();
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until it is ready, with the contracts of the fleet.
    pub(crate) async fn ready(&self) {
        for _ in 0..1_000 {
            let asked = Call::new(self.addr, "-", Method::GET, "/readyz");
            let answer = asked.send().await;
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

/// Stand-ins in this process, entries as processes of their own.
pub(crate) struct Fleet {
    pub(crate) parts: Standins,
    pub(crate) entries: Vec<Entry>,
    /// Beside the entries, in this process.
    _controls: Vec<Controller>,
}

fn free() -> SocketAddr {
    let socket = std::net::TcpListener::bind(("127.0.0.1", 0)).unwrap();
    socket.local_addr().unwrap()
}

impl Fleet {
    pub(crate) async fn start(make: &RigConfig) -> Self {
        let parts = Standins::start(make).await.unwrap();
        let contracts = operate::Contracts::new(plat::Client::new(vec![parts.platform.host.addr]));
        for text in &make.contracts {
            let contract = contract::ini::parse("test", text).unwrap();
            contracts.apply("test", None, contract).await.unwrap();
        }
        let mut text = parts.shared.clone();
        let mut places = Vec::new();
        for domain in &make.domains {
            for at in 0..make.entries {
                let (name, addr) = (format!("{domain}-{at}"), free());
                text += &format!("[peer {name}]\ndomain = {domain}\naddress = {addr}\n");
                places.push((name, *domain, addr));
            }
        }
        let mut entries = Vec::new();
        let mut controls = Vec::new();
        for (name, domain, addr) in places {
            let me = format!("[instance]\nname = {name}\ndomain = {domain}\nlisten = {addr}\n");
            let file = std::env::temp_dir().join(format!("snipeway-test-{}.ini", addr.port()));
            let settings = format!("{text}{me}");
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
            entry.ready().await;
        }
        fleet
    }

    pub(crate) fn addrs(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.addr).collect()
    }
}
