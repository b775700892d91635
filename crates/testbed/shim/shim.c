/* A library that is preloaded into balancers. It injects faults of the operating system: calls that
 * fail with errors that Linux documents, short reads and writes, broken connections, delayed
 * writes, and steps of the wall clock. The active faults are read from a file that the testbed
 * updates during the run. System calls that bypass the C library are not affected. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

/* The content of the control file: probabilities in millionths, durations in microseconds.
 * `Control` in `system_faults.rs` has the same layout. */
struct control {
    int64_t failing_calls;
    int64_t short_calls;
    int64_t interrupted_calls;
    int64_t delayed_writes;
    int64_t write_delay_us;
    int64_t clock_offset_us;
    int64_t broken_connections;
};

#define DESCRIPTORS 65536
static volatile const struct control *control;
static unsigned char outgoing[DESCRIPTORS];
static __thread uint64_t state;

__attribute__((constructor)) static void begin(void) {
    const char *path = getenv("PINEFRONT_SHIM");
    if (!path) return;
    int file = open(path, O_RDONLY | O_CLOEXEC);
    if (file < 0) return;
    void *at = mmap(0, sizeof(struct control), PROT_READ, MAP_SHARED, file, 0);
    close(file);
    if (at != MAP_FAILED) control = at;
}

static uint64_t next(void) {
    if (!state) state = 0x9e3779b97f4a7c15ull ^ ((uint64_t)getpid() << 20) ^ (uint64_t)(uintptr_t)&state;
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    return state;
}

static int happens(int64_t millionths) { return millionths > 0 && (int64_t)(next() % 1000000) < millionths; }

static int one_of(const int *codes, unsigned count) {
    errno = codes[next() % count];
    return -1;
}

#define REAL(name) static __typeof__(&name) real; if (!real) real = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

static int accept_fails(void) {
    static const int codes[] = {ECONNABORTED, ENFILE, ENOBUFS, EPROTO, EINTR, ENETDOWN};
    return control && happens(control->failing_calls) ? one_of(codes, 6) : 0;
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(accept4);
    return accept_fails() ? -1 : real(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    static const int codes[] = {ENFILE, ENOBUFS, ENOMEM};
    REAL(socket);
    if (control && happens(control->failing_calls)) return one_of(codes, 3);
    return real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    static const int codes[] = {EADDRNOTAVAIL, ENETUNREACH, EAGAIN, EINTR};
    REAL(connect);
    if (control && happens(control->failing_calls)) return one_of(codes, 4);
    if (fd >= 0 && fd < DESCRIPTORS) outgoing[fd] = 1;
    return real(fd, address, length);
}

int close(int fd) {
    REAL(close);
    if (fd >= 0 && fd < DESCRIPTORS) outgoing[fd] = 0;
    return real(fd);
}

/* Shuts down an outgoing connection, to a server or to discovery, and fails with the error of a
 * network failure. */
static int break_connection(int fd) {
    static const int codes[] = {ETIMEDOUT, EHOSTUNREACH, ECONNRESET};
    if (!control || fd < 0 || fd >= DESCRIPTORS || !outgoing[fd] || !happens(control->broken_connections)) return 0;
    shutdown(fd, SHUT_RDWR);
    return one_of(codes, 3);
}

ssize_t recv(int fd, void *bytes, size_t length, int flags) {
    REAL(recv);
    if (control && !(flags & MSG_PEEK)) {
        if (happens(control->interrupted_calls)) {
            errno = EINTR;
            return -1;
        }
        if (break_connection(fd)) return -1;
        if (length > 1 && happens(control->short_calls)) length = 1 + next() % (length < 64 ? length : 64);
    }
    return real(fd, bytes, length, flags);
}

ssize_t recvmsg(int fd, struct msghdr *message, int flags) {
    REAL(recvmsg);
    if (!control || (flags & MSG_PEEK)) return real(fd, message, flags);
    if (happens(control->interrupted_calls)) {
        errno = EINTR;
        return -1;
    }
    if (break_connection(fd)) return -1;
    struct iovec *parts = message->msg_iov;
    if (message->msg_iovlen == 1 && parts->iov_len > 1 && happens(control->short_calls)) {
        size_t length = parts->iov_len;
        parts->iov_len = 1 + next() % (length < 64 ? length : 64);
        ssize_t received = real(fd, message, flags);
        parts->iov_len = length;
        return received;
    }
    return real(fd, message, flags);
}

static void delay_write(void) {
    if (control && happens(control->delayed_writes)) usleep((useconds_t)(next() % (uint64_t)(control->write_delay_us + 1)));
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(writev);
    if (control && fd > 2) {
        delay_write();
        if (happens(control->interrupted_calls)) {
            errno = EINTR;
            return -1;
        }
        if (break_connection(fd)) return -1;
        if (count > 0 && parts[0].iov_len > 1 && happens(control->short_calls)) {
            struct iovec part = {parts[0].iov_base, 1 + next() % parts[0].iov_len};
            return real(fd, &part, 1);
        }
    }
    return real(fd, parts, count);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    REAL(clock_gettime);
    int done = real(clock, now);
    if (!done && control && clock == CLOCK_REALTIME) {
        int64_t at = (int64_t)now->tv_sec * 1000000 + now->tv_nsec / 1000 + control->clock_offset_us;
        now->tv_sec = at / 1000000;
        now->tv_nsec = at % 1000000 * 1000;
    }
    return done;
}
