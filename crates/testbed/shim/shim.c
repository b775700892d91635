/* A library that the soak preloads into balancers: it fails system calls as Linux documents, cuts reads and writes short,
 * steps the wall clock and holds the process up between its clock and a write. What it does is read from a file that the
 * lab writes while the day runs. Calls that go to the kernel without the C library are not reached. */
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

/* Parts of a million calls, spans in microseconds; the lab's `system.rs` writes the same. */
struct control {
    int64_t fails;
    int64_t is_short;
    int64_t interrupted;
    int64_t held_up;
    int64_t held_up_us;
    int64_t clock_offset_us;
    int64_t breaks;
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

static int happens(int64_t part) { return part > 0 && (int64_t)(next() % 1000000) < part; }

static int one_of(const int *codes, unsigned count) {
    errno = codes[next() % count];
    return -1;
}

#define REAL(name) static __typeof__(&name) real; if (!real) real = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

static int accept_fails(void) {
    static const int codes[] = {ECONNABORTED, ENFILE, ENOBUFS, EPROTO, EINTR, ENETDOWN};
    return control && happens(control->fails) ? one_of(codes, 6) : 0;
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(accept4);
    return accept_fails() ? -1 : real(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    static const int codes[] = {ENFILE, ENOBUFS, ENOMEM};
    REAL(socket);
    if (control && happens(control->fails)) return one_of(codes, 3);
    return real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    static const int codes[] = {EADDRNOTAVAIL, ENETUNREACH, EAGAIN, EINTR};
    REAL(connect);
    if (control && happens(control->fails)) return one_of(codes, 4);
    if (fd >= 0 && fd < DESCRIPTORS) outgoing[fd] = 1;
    return real(fd, address, length);
}

int close(int fd) {
    REAL(close);
    if (fd >= 0 && fd < DESCRIPTORS) outgoing[fd] = 0;
    return real(fd);
}

/* Ends a connection to an upstream or to discovery as its network may. */
static int breaks(int fd) {
    static const int codes[] = {ETIMEDOUT, EHOSTUNREACH, ECONNRESET};
    if (!control || fd < 0 || fd >= DESCRIPTORS || !outgoing[fd] || !happens(control->breaks)) return 0;
    shutdown(fd, SHUT_RDWR);
    return one_of(codes, 3);
}

ssize_t recv(int fd, void *bytes, size_t length, int flags) {
    REAL(recv);
    if (control && !(flags & MSG_PEEK)) {
        if (happens(control->interrupted)) {
            errno = EINTR;
            return -1;
        }
        if (breaks(fd)) return -1;
        if (length > 1 && happens(control->is_short)) length = 1 + next() % (length < 64 ? length : 64);
    }
    return real(fd, bytes, length, flags);
}

static void hold_up(void) {
    if (control && happens(control->held_up)) usleep((useconds_t)(next() % (uint64_t)(control->held_up_us + 1)));
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(writev);
    if (control && fd > 2) {
        hold_up();
        if (happens(control->interrupted)) {
            errno = EINTR;
            return -1;
        }
        if (breaks(fd)) return -1;
        if (count > 0 && parts[0].iov_len > 1 && happens(control->is_short)) {
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
