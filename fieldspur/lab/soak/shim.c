/* Fault shim for one router process (LD_PRELOAD): system calls fail with errors that Linux documents, and the wall clock is stepped.
 * The control block is a file mapped into memory, which the laboratory writes while the process runs. Rates are per 1000 calls. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

struct control {
    int64_t clock_offset_ns;
    uint64_t seed;
    uint32_t accept, socket, connect, eintr, shorten, broken, disk; /* per 1000 calls */
    uint32_t dial_delay_ms;                                         /* greatest random delay of a connect */
    uint32_t fired[8];                                              /* failures of each kind, in the order above; delayed connects last */
};
enum { ACCEPT, SOCKET, CONNECT, EINTR_, SHORTEN, BROKEN, DISK, DIAL };

static struct control none;
static struct control *control = &none;
static unsigned char outgoing[65536]; /* per descriptor: 1 if this process has called `connect` for it */
static __thread uint64_t state;
static uint64_t threads;

#define REAL(name) ({ static __typeof__(&name) real_; if (!real_) real_ = (__typeof__(&name))dlsym(RTLD_NEXT, #name); real_; })

__attribute__((constructor)) static void begin(void) {
    const char *path = getenv("FIELDSPUR_SHIM");
    int fd = path ? open(path, O_RDWR) : -1;
    if (fd < 0) return;
    void *at = mmap(NULL, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    if (at != MAP_FAILED) control = at;
    close(fd);
}

static uint32_t chance(void) {
    if (!state) state = control->seed * 0x9e3779b97f4a7c15ull + (__atomic_add_fetch(&threads, 1, __ATOMIC_RELAXED) << 17) + 1;
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    return (uint32_t)(state >> 32);
}

static int fires(uint32_t rate, int which) {
    if (!rate || chance() % 1000 >= rate) return 0;
    __atomic_add_fetch(&control->fired[which], 1, __ATOMIC_RELAXED);
    return 1;
}

static int fail(const int *numbers, size_t count) {
    errno = numbers[chance() % count];
    return -1;
}

#define FAIL(...) ({ static const int numbers[] = {__VA_ARGS__}; fail(numbers, sizeof numbers / sizeof *numbers); })

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags) {
    if (fires(control->eintr, EINTR_)) return FAIL(EINTR);
    if (control->accept) { /* fail only if a connection is waiting, which stays in the queue; a blocking call waits for one first */
        struct pollfd waits = {fd, POLLIN, 0};
        int blocking = !(fcntl(fd, F_GETFL) & O_NONBLOCK);
        if (poll(&waits, 1, blocking ? 200 : 0) > 0 && fires(control->accept, ACCEPT))
            return FAIL(ECONNABORTED, ENFILE, ENOBUFS, EMFILE, EPROTO, ENOMEM);
    }
    int new = REAL(accept4)(fd, address, size, flags);
    if (new >= 0 && new < 65536) outgoing[new] = 0;
    return new;
}

int accept(int fd, struct sockaddr *address, socklen_t *size) { return accept4(fd, address, size, 0); }

int socket(int family, int type, int protocol) {
    if (family == AF_INET && fires(control->socket, SOCKET)) return FAIL(EMFILE, ENFILE, ENOBUFS, ENOMEM);
    return REAL(socket)(family, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t size) {
    if (address->sa_family != AF_INET) return REAL(connect)(fd, address, size);
    if (fd >= 0 && fd < 65536) outgoing[fd] = 1;
    if (fires(control->connect, CONNECT)) return FAIL(EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EAGAIN);
    if (control->dial_delay_ms) {
        struct timespec wait = {0, (long)(chance() % control->dial_delay_ms) * 1000000};
        __atomic_add_fetch(&control->fired[DIAL], 1, __ATOMIC_RELAXED);
        nanosleep(&wait, NULL);
    }
    return REAL(connect)(fd, address, size);
}

/* Breaks a connection that this process has opened: the first call gets an error, later calls see the end of the connection. */
static int breaks(int fd) {
    if (fd < 0 || fd >= 65536 || !outgoing[fd] || !fires(control->broken, BROKEN)) return 0;
    shutdown(fd, SHUT_RDWR);
    FAIL(ETIMEDOUT, EHOSTUNREACH);
    return 1;
}

static size_t less(size_t size) {
    return size > 1 && fires(control->shorten, SHORTEN) ? 1 + chance() % (size < 400 ? size : 400) % size : size;
}

ssize_t recv(int fd, void *data, size_t size, int flags) {
    if (fires(control->eintr, EINTR_)) return FAIL(EINTR);
    if (breaks(fd)) return -1;
    return REAL(recv)(fd, data, flags & MSG_PEEK ? size : less(size), flags);
}

ssize_t send(int fd, const void *data, size_t size, int flags) {
    if (fires(control->eintr, EINTR_)) return FAIL(EINTR);
    if (breaks(fd)) return -1;
    return REAL(send)(fd, data, less(size), flags);
}

ssize_t sendmsg(int fd, const struct msghdr *message, int flags) {
    if (fires(control->eintr, EINTR_)) return FAIL(EINTR);
    if (breaks(fd)) return -1;
    if (message->msg_iovlen && message->msg_iov[0].iov_len > 1 && fires(control->shorten, SHORTEN))
        return REAL(send)(fd, message->msg_iov[0].iov_base, 1 + chance() % message->msg_iov[0].iov_len, flags);
    return REAL(sendmsg)(fd, message, flags);
}

/* The wall clock. */

int clock_gettime(clockid_t clock, struct timespec *at) {
    int done = REAL(clock_gettime)(clock, at);
    if (!done && clock == CLOCK_REALTIME && control->clock_offset_ns) {
        int64_t now = (int64_t)at->tv_sec * 1000000000 + at->tv_nsec + control->clock_offset_ns;
        at->tv_sec = now / 1000000000;
        at->tv_nsec = now % 1000000000;
    }
    return done;
}

int gettimeofday(struct timeval *restrict at, void *restrict zone) {
    struct timespec now;
    (void)zone;
    clock_gettime(CLOCK_REALTIME, &now);
    at->tv_sec = now.tv_sec;
    at->tv_usec = now.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *at) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (at) *at = now.tv_sec;
    return now.tv_sec;
}

/* The disk: writes and syncs of regular files fail, and a failing write may write half. Standard streams never fail. */

static int on_disk(int fd) {
    struct stat about;
    return fd > 2 && !fstat(fd, &about) && S_ISREG(about.st_mode);
}

ssize_t write(int fd, const void *data, size_t size) {
    if (control->disk && on_disk(fd) && fires(control->disk, DISK)) return FAIL(ENOSPC, EIO);
    return REAL(write)(fd, data, size);
}

ssize_t pwrite64(int fd, const void *data, size_t size, off64_t at) {
    if (control->disk && on_disk(fd) && fires(control->disk, DISK)) {
        if (size > 1 && chance() % 2) return REAL(pwrite64)(fd, data, size / 2, at);
        return FAIL(ENOSPC, EIO);
    }
    return REAL(pwrite64)(fd, data, size, at);
}

ssize_t pwrite(int fd, const void *data, size_t size, off_t at) { return pwrite64(fd, data, size, at); }

int fsync(int fd) {
    if (control->disk && fires(control->disk, DISK)) return FAIL(EIO, ENOSPC);
    return REAL(fsync)(fd);
}

int fdatasync(int fd) {
    if (control->disk && fires(control->disk, DISK)) return FAIL(EIO, ENOSPC);
    return REAL(fdatasync)(fd);
}
