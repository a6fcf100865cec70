//! An adaptive bound on the calls that one instance has at a service at once.
//!
//! Load pattern: dozens of instances with a few calls each send more to three upstreams than these run. What an
//! instance knows of an upstream is older than a call takes, so the instances overrun the upstreams together. Each
//! adapts its own bound to what became of its calls.
//!
//! With more instances than slots, one call at a time from each instance is too much already. A window below 1 lets
//! one call through and then pauses, so that on average the fraction of a call is there.

use kernel::Millis;

/// Factor of the window after a rejection or a late answer.
const CUT_FACTOR: f64 = 0.7;

/// Size below which late answers do not shrink the window. An instance that is short of processor time sees answers
/// late even if its upstreams have room, so below this size only rejections and reports of crowding shrink it.
const LATE_FLOOR: f64 = 0.5;

/// Factor of the window after an answer from an upstream in which many calls wait. It is close to 1, because at the
/// best load a good part of the answers say so.
const CROWDED_FACTOR: f64 = 0.95;

/// Maximum growth per answer, relative to the window. In a window of a few calls, growth by a whole call for each
/// window would overrun the upstreams again after one or two answers.
const MAX_GROWTH: f64 = 1.0 / 16.0;

/// Minimum growth per answer. A window that has become very small gets answers rarely.
const MIN_GROWTH: f64 = 1.0 / 64.0;

/// The smallest window: a call every 32 service times.
const MIN_SIZE: f64 = 1.0 / 32.0;

/// Longest time between two calls of a window below 1, in milliseconds. A service whose calls take seconds is probed
/// often enough to notice that it has room again.
const MAX_PERIOD: f64 = 500.0;

/// Weight of the newest answer in the service time.
const SMOOTHING_FACTOR: f64 = 0.125;

/// Number of mean deviations above the mean within which nearly all service times are.
const USUAL_DEVIATIONS: f64 = 2.0;

/// Multiple of the shortest service time above which a call is assumed to have waited in its upstream.
const QUEUED_FACTOR: f64 = 1.5;

/// Weight of the newest answer in the shortest service time, if it took longer: a service that has become slower is
/// known as such after about a thousand answers, and a queue of some seconds does not pass for a slower service.
const SHORTEST_RISE: f64 = 0.001;

/// Service time in milliseconds before any has been measured.
const DEFAULT_SERVICE_TIME: f64 = 50.0;

/// What the answer to a call says about the load of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Answered within the target after this time in milliseconds.
    OnTime(Millis),
    /// Answered within the target after this time in milliseconds, by an upstream in which many calls wait.
    Crowded(Millis),
    /// Answered after this time in milliseconds, which is over the target, while calls wait in the upstream.
    Late(Millis),
    /// Answered after this time in milliseconds, which is over the target, by an upstream that does not report its load.
    LateUnexplained(Millis),
    /// Answered after this time in milliseconds, which is over the target, although no call waits in the upstream.
    Slow(Millis),
    /// Rejected by an upstream without room.
    Rejected,
}

impl Signal {
    fn time(self) -> Option<Millis> {
        match self {
            Self::OnTime(took)
            | Self::Crowded(took)
            | Self::Late(took)
            | Self::LateUnexplained(took)
            | Self::Slow(took) => Some(took),
            Self::Rejected => None,
        }
    }
}

/// The adaptive bound of one instance for one service.
///
/// # Examples
///
/// ```
/// use limit::{Signal, Window};
///
/// let mut window = Window::default();
/// window.set_max(4);
/// window.start(0);
/// window.finish(20, 0, Some(Signal::Rejected));
/// assert!(window.size() < 1.0);
/// assert_eq!(window.pause(20) > 0, true);
/// assert!(window.has_room(1_000));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Window {
    size: f64,
    max: f64,
    running: u32,
    /// Most calls at the service at once since the window last shrank.
    peak: u32,
    /// When the window last shrank. Calls sent before, or within a service time after, say nothing about its new size.
    cut_at: Option<Millis>,
    /// Time before which no call is sent, while the window is below 1.
    resume_at: Millis,
    /// Mean service time in milliseconds, and its mean deviation.
    service_time: Option<(f64, f64)>,
    /// The shortest service time in milliseconds, which rises slowly.
    shortest_time: f64,
}

impl Default for Window {
    /// Creates a window that is as large as its maximum: below capacity no call waits.
    fn default() -> Self {
        Self {
            size: f64::INFINITY,
            max: 1.0,
            running: 0,
            peak: 0,
            cut_at: None,
            resume_at: 0,
            service_time: None,
            shortest_time: f64::INFINITY,
        }
    }
}

impl Window {
    /// Sets the largest size.
    pub fn set_max(&mut self, max: u32) {
        self.max = f64::from(max.max(1));
    }

    /// Returns the size; below 1 it is the mean number of calls.
    pub fn size(&self) -> f64 {
        self.size.min(self.max)
    }

    /// Returns the number of calls at the service.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns whether a call may be sent now.
    pub fn has_room(&self, now: Millis) -> bool {
        f64::from(self.running) < self.size().floor().max(1.0) && now >= self.resume_at
    }

    /// Returns whether a call that is sent now leaves half of the window to others.
    pub fn has_spare_room(&self) -> bool {
        self.size() >= 1.0 && f64::from(self.running) < self.size() / 2.0
    }

    /// Returns the time in milliseconds for which no call is sent, however few are at the service.
    pub fn pause(&self, now: Millis) -> Millis {
        self.resume_at.saturating_sub(now)
    }

    /// Records that a call is sent.
    pub fn start(&mut self, now: Millis) {
        self.running += 1;
        self.peak = self.peak.max(self.running);
        if self.size() < 1.0 {
            let period = self.period() as Millis;
            // After an idle period a second call may follow at once: calls arrive at random, and the mean is kept.
            let due = now.saturating_sub(period).max(self.resume_at);
            self.resume_at = due + period;
        }
    }

    /// Records that a call sent at `sent_at` has ended; without a signal, nothing follows about the service.
    pub fn finish(&mut self, now: Millis, sent_at: Millis, signal: Option<Signal>) {
        self.running = self.running.saturating_sub(1);
        let Some(signal) = signal else { return };
        if let Some(took) = signal.time() {
            self.record_time(took as f64);
        }
        if sent_at < self.settled_at() {
            return;
        }
        let in_use = f64::from(self.peak.max(1));
        match signal {
            Signal::OnTime(_) => self.grow(in_use),
            Signal::Crowded(_) => self.cut(CROWDED_FACTOR * self.size(), now),
            // A smaller window makes no call faster that takes this long in an idle upstream.
            Signal::Slow(_) => (),
            Signal::LateUnexplained(took) if took as f64 <= self.shortest_time * QUEUED_FACTOR => {}
            Signal::Late(_) | Signal::LateUnexplained(_) => {
                let size = (CUT_FACTOR * self.size().min(in_use)).max(LATE_FLOOR);
                self.cut(size.min(self.size()), now);
            }
            Signal::Rejected => self.cut(CUT_FACTOR * self.size().min(in_use), now),
        }
    }

    /// Returns the time from which calls are sent that show the effect of the last cut. A window below 1 has paused
    /// since; a larger one has its calls from before the cut at the upstreams for another service time.
    fn settled_at(&self) -> Millis {
        let settling = match self.size() < 1.0 {
            true => 0,
            false => self.mean_time() as Millis,
        };
        self.cut_at.map_or(0, |at| at + settling)
    }

    // A window that the calls do not fill says nothing about a larger one.
    fn grow(&mut self, in_use: f64) {
        let size = self.size();
        if in_use * 2.0 >= size {
            let growth = (1.0 / size).min(MAX_GROWTH * size).max(MIN_GROWTH);
            self.size = (size + growth).min(self.max);
        }
    }

    fn cut(&mut self, size: f64, now: Millis) {
        self.size = size.max(MIN_SIZE);
        self.cut_at = Some(now);
        self.peak = self.running;
        let pause = self.period() - self.mean_time();
        self.resume_at = self.resume_at.max(now + pause as Millis);
    }

    /// Returns the time between the starts of two calls of a window below 1, in milliseconds.
    fn period(&self) -> f64 {
        (self.mean_time() / self.size()).min(MAX_PERIOD)
    }

    fn record_time(&mut self, took: f64) {
        let (mean, deviation) = self.service_time.unwrap_or((took, 0.0));
        let rise = SHORTEST_RISE * (took - self.shortest_time);
        self.shortest_time = took.min(self.shortest_time + rise.max(0.0));
        let distance = (took - mean).abs();
        self.service_time = Some((
            mean + SMOOTHING_FACTOR * (took - mean),
            deviation + SMOOTHING_FACTOR * (distance - deviation),
        ));
    }

    /// Returns the mean service time in milliseconds.
    pub fn mean_time(&self) -> f64 {
        self.service_time
            .map_or(DEFAULT_SERVICE_TIME, |(mean, _)| mean)
    }

    /// Returns the time in milliseconds within which nearly all calls are answered; 0 before any was measured.
    pub fn usual_time(&self) -> Millis {
        let usual = self
            .service_time
            .map_or(0.0, |(mean, deviation)| mean + USUAL_DEVIATIONS * deviation);
        usual.ceil() as Millis
    }

    /// Returns the expected time between two departures while calls wait, in milliseconds.
    pub fn interval(&self) -> f64 {
        let sent = f64::from(self.running.max(1)).min(self.size());
        self.mean_time() / sent
    }
}
