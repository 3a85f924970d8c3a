//! The C library's functions in whose place this library's are called. Each asks the plan, and otherwise calls on.

use std::ffi::CStr;
use std::sync::OnceLock;

use libc::{c_int, c_void, clockid_t, epoll_event, size_t, sockaddr, socklen_t, ssize_t, timespec};

use crate::plan::{Kind, Plan};

/// The plan and the descriptor of the file of counts.
struct Shim {
    plan: Plan,
    counts: c_int,
}

fn shim() -> Option<&'static Shim> {
    static SHIM: OnceLock<Option<Shim>> = OnceLock::new();
    SHIM.get_or_init(start).as_ref()
}

fn start() -> Option<Shim> {
    let text = std::env::var("FAULT_SHIM").ok()?;
    let plan = match text.parse() {
        Ok(plan) => plan,
        Err(why) => {
            eprintln!("{why}");
            std::process::exit(2);
        }
    };
    let file = std::env::var("FAULT_SHIM_COUNTS").unwrap_or_default();
    let file = std::ffi::CString::new(file).unwrap_or_default();
    // SAFETY: `file` is a C string that lives through the call.
    let counts = unsafe {
        libc::open(
            file.as_ptr(),
            libc::O_RDWR | libc::O_CREAT | libc::O_CLOEXEC,
            0o600,
        )
    };
    Some(Shim { plan, counts })
}

impl Shim {
    fn hits(&self, kind: Kind) -> Option<u64> {
        let number = self.plan.hits(kind)?;
        self.count(kind);
        Some(number)
    }

    /// One mark a kind: a test asks whether it was injected, not how often.
    fn count(&self, kind: Kind) {
        let mark = [b'x'];
        // SAFETY: the buffer holds one byte, and `pwrite` reads no more than that.
        unsafe { libc::pwrite(self.counts, mark.as_ptr().cast(), 1, kind as libc::off_t) };
    }
}

fn fail(code: c_int) -> c_int {
    // SAFETY: `__errno_location` gives a valid pointer to the calling thread's `errno`.
    unsafe { *libc::__errno_location() = code };
    -1
}

fn one_of(number: u64, codes: &[c_int]) -> c_int {
    codes[number as usize % codes.len()]
}

/// A shorter length, of one byte at the least.
fn shortened(number: u64, length: size_t) -> size_t {
    1 + number as usize % length.max(1)
}

/// The function of this name that would be called without this library.
fn next(name: &CStr) -> *mut c_void {
    // SAFETY: `name` is a C string; `dlsym` may be called with it at any time.
    let found = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) };
    assert!(!found.is_null(), "the C library has no {name:?}");
    found
}

/// Declares a replacement that may fail or fall short, and else calls the function of the same name.
macro_rules! replace {
    ($(#[$doc:meta])* fn $name:ident($($arg:ident: $type:ty),*) -> $result:ty, $before:expr) => {
        $(#[$doc])*
        ///
        /// # Safety
        /// As for the function of this name in the C library.
        #[no_mangle]
        pub unsafe extern "C" fn $name($($arg: $type),*) -> $result {
            type Call = unsafe extern "C" fn($($type),*) -> $result;
            static NEXT: OnceLock<usize> = OnceLock::new();
            let found = *NEXT.get_or_init(|| {
                let name = concat!(stringify!($name), "\0");
                next(CStr::from_bytes_with_nul(name.as_bytes()).unwrap_or_default()) as usize
            });
            // SAFETY: the symbol of this name in the C library has this type.
            let call: Call = unsafe { std::mem::transmute::<usize, Call>(found) };
            let before: fn(Call, $($type),*) -> $result = $before;
            before(call, $($arg),*)
        }
    };
}

replace!(
    /// Fails for a moment before it takes a connection, which stays in the queue.
    fn accept4(fd: c_int, addr: *mut sockaddr, len: *mut socklen_t, flags: c_int) -> c_int,
    |call, fd, addr, len, flags| match shim().and_then(|s| s.hits(Kind::Accept)) {
        Some(n) => fail(one_of(n, &[libc::ECONNABORTED, libc::ENFILE, libc::EMFILE, libc::ENOBUFS, libc::EINTR])),
        // SAFETY: the caller's arguments, as they were given.
        None => unsafe { call(fd, addr, len, flags) },
    }
);

replace!(
    /// Fails for a moment.
    fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int,
    |call, domain, kind, protocol| match shim().and_then(|s| s.hits(Kind::Socket)) {
        Some(n) => fail(one_of(n, &[libc::ENFILE, libc::EMFILE, libc::ENOBUFS, libc::ENOMEM])),
        // SAFETY: the caller's arguments, as they were given.
        None => unsafe { call(domain, kind, protocol) },
    }
);

replace!(
    /// Fails for a moment before anything is sent.
    fn connect(fd: c_int, addr: *const sockaddr, len: socklen_t) -> c_int,
    |call, fd, addr, len| match shim().and_then(|s| s.hits(Kind::Connect)) {
        Some(n) => fail(one_of(n, &[libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::EAGAIN, libc::ENOBUFS])),
        // SAFETY: the caller's arguments, as they were given.
        None => unsafe { call(fd, addr, len) },
    }
);

replace!(
    /// Is interrupted with nothing told.
    fn epoll_wait(fd: c_int, events: *mut epoll_event, most: c_int, timeout: c_int) -> c_int,
    |call, fd, events, most, timeout| match shim().and_then(|s| s.hits(Kind::Wait)) {
        Some(_) => fail(libc::EINTR),
        // SAFETY: the caller's arguments, as they were given.
        None => unsafe { call(fd, events, most, timeout) },
    }
);

replace!(
    /// Takes less than there is, or is interrupted.
    fn recv(fd: c_int, to: *mut c_void, length: size_t, flags: c_int) -> ssize_t,
    |call, fd, to, length, flags| {
        let length = match shim().and_then(|s| s.hits(Kind::Short)) {
            Some(n) if n % 8 == 0 => return fail(libc::EINTR) as ssize_t,
            Some(n) => shortened(n / 8, length),
            None => length,
        };
        // SAFETY: the caller's arguments with no longer length, which its buffer holds.
        unsafe { call(fd, to, length, flags) }
    }
);

replace!(
    /// Sends less than it is given, or is interrupted.
    fn send(fd: c_int, from: *const c_void, length: size_t, flags: c_int) -> ssize_t,
    |call, fd, from, length, flags| {
        let length = match shim().and_then(|s| s.hits(Kind::Short)) {
            Some(n) if n % 8 == 0 => return fail(libc::EINTR) as ssize_t,
            Some(n) => shortened(n / 8, length),
            None => length,
        };
        // SAFETY: the caller's arguments with no longer length, which its buffer holds.
        unsafe { call(fd, from, length, flags) }
    }
);

replace!(
    /// The wall clock is off by what the plan says; every other clock is the system's.
    fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int,
    |call, clock, time| {
        // SAFETY: the caller's arguments, as they were given.
        let result = unsafe { call(clock, time) };
        let off = shim().map_or(0, |s| s.plan.clock_s);
        if clock == libc::CLOCK_REALTIME && result == 0 && off != 0 {
            // SAFETY: the call has succeeded, so that `time` points to a time that it has filled.
            unsafe { (*time).tv_sec += off };
            shim().into_iter().for_each(|s| s.count(Kind::Clock));
        }
        result
    }
);
