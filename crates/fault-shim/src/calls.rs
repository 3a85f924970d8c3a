//! Replacements for functions of the C library. Each one injects a fault if the plan says so, and otherwise calls the original
//! function.

use std::ffi::CStr;
use std::sync::OnceLock;

use libc::{c_int, c_void, clockid_t, epoll_event, size_t, sockaddr, socklen_t, ssize_t, timespec};

use crate::plan::{Kind, Plan};

/// The fault plan and the file descriptor of the mark file `FAULT_SHIM_COUNTS`.
struct Shim {
    plan: Plan,
    marks_fd: c_int,
}

fn shim() -> Option<&'static Shim> {
    static SHIM: OnceLock<Option<Shim>> = OnceLock::new();
    SHIM.get_or_init(load).as_ref()
}

fn load() -> Option<Shim> {
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
    // SAFETY: `file` is a C string that outlives the call.
    let marks_fd = unsafe {
        libc::open(
            file.as_ptr(),
            libc::O_RDWR | libc::O_CREAT | libc::O_CLOEXEC,
            0o600,
        )
    };
    Some(Shim { plan, marks_fd })
}

impl Shim {
    fn inject(&self, kind: Kind) -> Option<u64> {
        let number = self.plan.hits(kind)?;
        self.mark(kind);
        Some(number)
    }

    /// Marks a kind of fault as injected. One byte per kind suffices: tests check whether a kind was injected, not how often.
    fn mark(&self, kind: Kind) {
        let byte = [b'x'];
        // SAFETY: the buffer holds one byte, and `pwrite` reads no more than that.
        unsafe { libc::pwrite(self.marks_fd, byte.as_ptr().cast(), 1, kind as libc::off_t) };
    }
}

/// Sets `errno` and returns -1, the return value of a failed call.
fn fail(code: c_int) -> c_int {
    // SAFETY: `__errno_location` gives a valid pointer to the calling thread's `errno`.
    unsafe { *libc::__errno_location() = code };
    -1
}

/// Selects an error code by a pseudorandom number.
fn select_error(number: u64, codes: &[c_int]) -> c_int {
    codes[number as usize % codes.len()]
}

/// Pseudorandom length in bytes, from 1 to `length`, for a short read or write.
fn short_length(number: u64, length: size_t) -> size_t {
    1 + number as usize % length.max(1)
}

/// Address of the original function of this name, which this library replaces.
fn original_function(name: &CStr) -> *mut c_void {
    // SAFETY: `name` is a C string; `dlsym` may be called with it at any time.
    let address = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) };
    assert!(!address.is_null(), "the C library does not define {name:?}");
    address
}

/// Declares a replacement for a C library function. Its body receives the original function and the call's arguments.
macro_rules! replace {
    ($(#[$doc:meta])* fn $name:ident($($arg:ident: $type:ty),*) -> $result:ty, $body:expr) => {
        $(#[$doc])*
        ///
        /// # Safety
        /// As for the function of this name in the C library.
        #[no_mangle]
        pub unsafe extern "C" fn $name($($arg: $type),*) -> $result {
            type Call = unsafe extern "C" fn($($type),*) -> $result;
            static ORIGINAL: OnceLock<usize> = OnceLock::new();
            let address = *ORIGINAL.get_or_init(|| {
                let name = concat!(stringify!($name), "\0");
                original_function(CStr::from_bytes_with_nul(name.as_bytes()).unwrap_or_default()) as usize
            });
            // SAFETY: the symbol of this name in the C library has this type.
            let call: Call = unsafe { std::mem::transmute::<usize, Call>(address) };
            let body: fn(Call, $($type),*) -> $result = $body;
            body(call, $($arg),*)
        }
    };
}

replace!(
    /// Fails with a transient error before accepting a connection, which stays in the accept queue.
    fn accept4(fd: c_int, addr: *mut sockaddr, len: *mut socklen_t, flags: c_int) -> c_int,
    |call, fd, addr, len, flags| match shim().and_then(|s| s.inject(Kind::Accept)) {
        Some(n) => fail(select_error(n, &[libc::ECONNABORTED, libc::ENFILE, libc::EMFILE, libc::ENOBUFS, libc::EINTR])),
        // SAFETY: the arguments are passed on as the caller gave them.
        None => unsafe { call(fd, addr, len, flags) },
    }
);

replace!(
    /// Fails with a transient error before creating a socket.
    fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int,
    |call, domain, kind, protocol| match shim().and_then(|s| s.inject(Kind::Socket)) {
        Some(n) => fail(select_error(n, &[libc::ENFILE, libc::EMFILE, libc::ENOBUFS, libc::ENOMEM])),
        // SAFETY: the arguments are passed on as the caller gave them.
        None => unsafe { call(domain, kind, protocol) },
    }
);

replace!(
    /// Fails with a transient error before sending anything.
    fn connect(fd: c_int, addr: *const sockaddr, len: socklen_t) -> c_int,
    |call, fd, addr, len| match shim().and_then(|s| s.inject(Kind::Connect)) {
        Some(n) => fail(select_error(n, &[libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::EAGAIN, libc::ENOBUFS])),
        // SAFETY: the arguments are passed on as the caller gave them.
        None => unsafe { call(fd, addr, len) },
    }
);

replace!(
    /// Fails with `EINTR` without reporting any event.
    fn epoll_wait(fd: c_int, events: *mut epoll_event, max_events: c_int, timeout: c_int) -> c_int,
    |call, fd, events, max_events, timeout| match shim().and_then(|s| s.inject(Kind::Wait)) {
        Some(_) => fail(libc::EINTR),
        // SAFETY: the arguments are passed on as the caller gave them.
        None => unsafe { call(fd, events, max_events, timeout) },
    }
);

replace!(
    /// Receives fewer bytes than requested, or fails with `EINTR`.
    fn recv(fd: c_int, to: *mut c_void, length: size_t, flags: c_int) -> ssize_t,
    |call, fd, to, length, flags| {
        let length = match shim().and_then(|s| s.inject(Kind::Short)) {
            Some(n) if n % 8 == 0 => return fail(libc::EINTR) as ssize_t,
            Some(n) => short_length(n / 8, length),
            None => length,
        };
        // SAFETY: these are the caller's arguments; the length is at most the caller's, so the buffer is large enough.
        unsafe { call(fd, to, length, flags) }
    }
);

replace!(
    /// Sends fewer bytes than requested, or fails with `EINTR`.
    fn send(fd: c_int, from: *const c_void, length: size_t, flags: c_int) -> ssize_t,
    |call, fd, from, length, flags| {
        let length = match shim().and_then(|s| s.inject(Kind::Short)) {
            Some(n) if n % 8 == 0 => return fail(libc::EINTR) as ssize_t,
            Some(n) => short_length(n / 8, length),
            None => length,
        };
        // SAFETY: these are the caller's arguments; the length is at most the caller's, so the buffer is large enough.
        unsafe { call(fd, from, length, flags) }
    }
);

replace!(
    /// Shifts the wall clock (`CLOCK_REALTIME`) by `clock_s` of the plan; all other clocks are unchanged.
    fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int,
    |call, clock, time| {
        // SAFETY: the arguments are passed on as the caller gave them.
        let result = unsafe { call(clock, time) };
        let shift_s = shim().map_or(0, |s| s.plan.clock_s);
        if clock == libc::CLOCK_REALTIME && result == 0 && shift_s != 0 {
            // SAFETY: the call succeeded, so `time` points to an initialized `timespec`.
            unsafe { (*time).tv_sec += shift_s };
            shim().into_iter().for_each(|s| s.mark(Kind::Clock));
        }
        result
    }
);
