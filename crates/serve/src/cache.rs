//! A cache of weight versions on an instance that has a disk.
//!
//! The weight store is rate-limited, and every engine of a failure domain wants a new version at
//! the same moment. An instance with a disk fetches each version once and hands it to the engines
//! of its domain. What it holds can be lost at any time: it is fetched again.

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http::header::CONTENT_LENGTH;
use http_body_util::BodyExt;
use http_body_util::Full;
use kernel::Map;
use kernel::Name;
use net::Call;
use net::Reply;
use net::body;
use parking_lot::Mutex;
use tokio::fs;
use tokio::fs::File;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

use crate::App;

/// Time in which the store's answer must begin, and each piece of it come.
const SILENCE: Duration = Duration::from_secs(10);

/// Bytes of one piece that is read from the disk.
const PIECE: usize = 256 << 10;

/// Versions of a model that are kept: the newest, and the one before for engines that lag.
const KEPT: usize = 2;

/// Why a version cannot be served.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum CacheError {
    /// The disk.
    #[error("could not use the cache's folder")]
    Disk(#[from] io::Error),
    /// The store cannot be reached, or broke off.
    #[error("could not fetch from the store")]
    Store(#[from] net::SendError),
    /// The store refused.
    #[error("the store answered with status {0}")]
    Status(StatusCode),
    /// The settings give no store.
    #[error("the settings give no store")]
    NoStore,
}

type Flight = Arc<tokio::sync::Mutex<()>>;

/// A cache of weight versions.
#[derive(Debug)]
pub struct Cache {
    folder: PathBuf,
    store: String,
    http: net::Client,
    /// One lock a version, so that engines that ask together cause one download.
    flights: Mutex<Map<(Name, u64), Flight>>,
}

impl Cache {
    /// Makes a cache over a folder.
    pub fn new(folder: PathBuf, store: &str) -> Self {
        Self {
            folder,
            store: store.to_owned(),
            http: net::Client::new(),
            flights: Mutex::default(),
        }
    }

    fn path(&self, model: &Name, version: u64) -> PathBuf {
        self.folder.join(format!("{model}@{version}"))
    }

    /// Opens a version, which is fetched first if need be.
    async fn open(&self, model: &Name, version: u64) -> Result<File, CacheError> {
        let flight = {
            let mut flights = self.flights.lock();
            let key = (model.clone(), version);
            flights.entry(key).or_default().clone()
        };
        let _one = flight.lock().await;
        let path = self.path(model, version);
        match File::open(&path).await {
            Ok(file) => return Ok(file),
            Err(error) if error.kind() == io::ErrorKind::NotFound => (),
            Err(error) => return Err(error.into()),
        }
        self.fetch(model, version).await?;
        self.prune(model, version).await;
        Ok(File::open(&path).await?)
    }

    /// Downloads to a file of another name, which gets its own once it is whole: a crash leaves no
    /// half version that looks like one.
    async fn fetch(&self, model: &Name, version: u64) -> Result<(), CacheError> {
        if self.store.is_empty() {
            return Err(CacheError::NoStore);
        }
        let uri = format!("{}/{model}/{version}", self.store);
        let request = Request::get(uri).body(Full::new(Bytes::new()));
        let request = request.map_err(|_| CacheError::NoStore)?;
        let answer = self.http.send(request, SILENCE).await?;
        if answer.status() != StatusCode::OK {
            return Err(CacheError::Status(answer.status()));
        }
        fs::create_dir_all(&self.folder).await?;
        let part = self.folder.join(format!("{model}@{version}.part"));
        let mut file = File::create(&part).await?;
        let mut body = answer.into_body();
        loop {
            let frame = tokio::time::timeout(SILENCE, body.frame()).await;
            let frame = frame.map_err(|_| net::SendError::Timeout)?;
            let Some(frame) = frame else {
                break;
            };
            let frame = frame.map_err(|_| net::SendError::Broken)?;
            if let Some(data) = frame.data_ref() {
                file.write_all(data).await?;
            }
        }
        file.sync_all().await?;
        fs::rename(&part, self.path(model, version)).await?;
        Ok(())
    }

    /// Removes old versions of a model; a file that cannot be removed costs room and no more.
    async fn prune(&self, model: &Name, version: u64) {
        let Ok(mut entries) = fs::read_dir(&self.folder).await else {
            return;
        };
        let mut old = Vec::new();
        while let Ok(Some(entry)) = entries.next_entry().await {
            let name = entry.file_name().to_string_lossy().into_owned();
            let Some((of, held)) = name.split_once('@') else {
                continue;
            };
            match held.parse::<u64>() {
                Ok(held) if of == &**model && held < version => old.push((held, entry.path())),
                _ => (),
            }
        }
        old.sort_by_key(|(held, _)| std::cmp::Reverse(*held));
        for (held, path) in old.into_iter().skip(KEPT - 1) {
            let _ = fs::remove_file(path).await;
            self.flights.lock().remove(&(model.clone(), held));
        }
    }
}

/// Serves `GET /weights/{model}/{version}` to engines.
pub async fn serve(app: Arc<App>, call: Call) -> Reply {
    let missing = || body::reply(StatusCode::NOT_FOUND, "text/plain", "no such version");
    let Some(cache) = &app.cache else {
        return missing();
    };
    let (Ok(model), Ok(version)) = (call.segment(1).parse(), call.segment(2).parse()) else {
        return missing();
    };
    match cache.open(&model, version).await {
        Ok(file) => send(file).await,
        Err(error) => {
            let text = error.to_string();
            log::warn!(target: "cache", model = &*model, version = version, error = text.as_str();
                "could not serve a version");
            body::reply(StatusCode::BAD_GATEWAY, "text/plain", text)
        }
    }
}

async fn send(mut file: File) -> Reply {
    let length = file.metadata().await.map(|metadata| metadata.len());
    let (sender, stream) = body::stream();
    tokio::spawn(async move {
        loop {
            let mut piece = vec![0; PIECE];
            let read = match file.read(&mut piece).await {
                Ok(0) => return,
                Ok(read) => read,
                Err(error) => {
                    let _ = sender.send(Err(error)).await;
                    return;
                }
            };
            piece.truncate(read);
            if sender.send(Ok(Bytes::from(piece))).await.is_err() {
                return;
            }
        }
    });
    let mut reply = Reply::new(stream);
    if let Ok(length) = length {
        // With the length, an engine knows a download that was cut from a whole one.
        reply.headers_mut().insert(CONTENT_LENGTH, length.into());
    }
    reply
}
