/* Makes system calls fail and steps the wall clock in one process of a rehearsal (by LD_PRELOAD).
 *
 * The rehearsal shares a memory page with the process; the environment variable SOAK_FAULTS_FD has its descriptor.
 * Each system call has an error number and a period: every period-th call fails, or none if the period is 0.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <poll.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/types.h>
#include <time.h>
#include <unistd.h>

enum call { SOCKET, CONNECT, ACCEPT, SEND, FSYNC, RECV, POLL, CALLS };

struct faults {
    int64_t wall_offset_ns;
    struct {
        int32_t error; /* 0 for SEND: the call sends one byte instead */
        int32_t period;
        int32_t made;
        int32_t failed;
    } calls[CALLS];
};

static struct faults *faults;

__attribute__((constructor)) static void share_page(void) {
    const char *descriptor = getenv("SOAK_FAULTS_FD");
    if (descriptor == NULL) return;
    void *page = mmap(NULL, sizeof *faults, PROT_READ | PROT_WRITE, MAP_SHARED, atoi(descriptor), 0);
    if (page != MAP_FAILED) faults = page;
}

static int strikes(enum call call) {
    if (faults == NULL || faults->calls[call].period <= 0) return 0;
    if (++faults->calls[call].made % faults->calls[call].period != 0) return 0;
    faults->calls[call].failed++;
    return 1;
}

static int fails(enum call call) {
    if (!strikes(call)) return 0;
    errno = faults->calls[call].error;
    return 1;
}

#define NEXT(name) \
    static __typeof__(name) *next; \
    if (next == NULL) next = (__typeof__(name) *)dlsym(RTLD_NEXT, #name)

int socket(int domain, int type, int protocol) {
    NEXT(socket);
    return domain == AF_INET && (type & 0xf) == SOCK_STREAM && fails(SOCKET) ? -1 : next(domain, type, protocol);
}

int connect(int descriptor, const struct sockaddr *address, socklen_t length) {
    NEXT(connect);
    return fails(CONNECT) ? -1 : next(descriptor, address, length);
}

int accept4(int descriptor, struct sockaddr *address, socklen_t *length, int flags) {
    NEXT(accept4);
    return fails(ACCEPT) ? -1 : next(descriptor, address, length, flags);
}

ssize_t send(int descriptor, const void *data, size_t length, int flags) {
    NEXT(send);
    if (length > 1 && strikes(SEND)) {
        if (faults->calls[SEND].error == 0) return next(descriptor, data, 1, flags);
        errno = faults->calls[SEND].error;
        return -1;
    }
    return next(descriptor, data, length, flags);
}

ssize_t recv(int descriptor, void *data, size_t length, int flags) {
    NEXT(recv);
    return (flags & MSG_PEEK) == 0 && fails(RECV) ? -1 : next(descriptor, data, length, flags);
}

int poll(struct pollfd *descriptors, nfds_t count, int timeout) {
    NEXT(poll);
    return fails(POLL) ? -1 : next(descriptors, count, timeout);
}

int fsync(int descriptor) {
    NEXT(fsync);
    return fails(FSYNC) ? -1 : next(descriptor);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    NEXT(clock_gettime);
    int result = next(clock, now);
    if (result == 0 && clock == CLOCK_REALTIME && faults != NULL && faults->wall_offset_ns != 0) {
        int64_t shown = (int64_t)now->tv_sec * 1000000000 + now->tv_nsec + faults->wall_offset_ns;
        now->tv_sec = shown / 1000000000;
        now->tv_nsec = shown % 1000000000;
    }
    return result;
}
