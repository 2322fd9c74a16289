/* Injects errors that Linux documents into system calls of one process, and steps its wall clock.
 *
 * Loaded by LD_PRELOAD into processes of the soak and of tests only. The errors and their rates are read from a page of
 * 64-bit numbers that the soak maps and changes while the process runs (benchmarks/soak/shim.py has the same fields in
 * the same order).
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
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

enum field { WALL_NS, ACCEPT_ERRNO, ACCEPT_PERMILLE, SOCKET_ERRNO, SOCKET_PERMILLE, CONNECT_ERRNO, CONNECT_PERMILLE,
             SHORT_READ_PERMILLE, SHORT_WRITE_PERMILLE, EINTR_PERMILLE, DISK_ERRNO, DISK_PERMILLE, DISK_KILL, FIELDS };
#define MAX_FILES 4096

static volatile int64_t *page;
static const char *folder;
static uint64_t state = 88172645463325252ull;
static unsigned char is_tracked[MAX_FILES];

#define REAL(name) ({ static __typeof__(&name) real; if (!real) real = (__typeof__(&name))dlsym(RTLD_NEXT, #name); real; })

__attribute__((constructor)) static void map_page(void)
{
    const char *path = getenv("SOAK_SHIM_PAGE");
    folder = getenv("SOAK_SHIM_FOLDER");
    if (!path)
        return;
    int file = open(path, O_RDWR | O_CLOEXEC);
    if (file < 0)
        return;
    void *mapped = mmap(NULL, FIELDS * sizeof *page, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    close(file);
    if (mapped != MAP_FAILED)
        page = mapped;
    state ^= (uint64_t)getpid() * 0x9E3779B97F4A7C15ull;
}

static int64_t field_value(enum field field) { return page ? page[field] : 0; }

static int draw(enum field permille)
{
    int64_t share = field_value(permille);
    if (share <= 0)
        return 0;
    state ^= state << 13, state ^= state >> 7, state ^= state << 17;
    return (int64_t)(state % 1000) < share;
}

static int inject_error(enum field error, enum field permille)
{
    if (!draw(permille))
        return 0;
    errno = (int)field_value(error);
    return 1;
}

static int is_stream(int file)
{
    int kind = 0;
    socklen_t size = sizeof kind;
    return getsockopt(file, SOL_SOCKET, SO_TYPE, &kind, &size) == 0 && kind == SOCK_STREAM;
}

/* --- clocks --- */

int clock_gettime(clockid_t clock, struct timespec *at)
{
    int done = REAL(clock_gettime)(clock, at);
    if (done == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t whole = at->tv_sec * 1000000000ll + at->tv_nsec + field_value(WALL_NS);
        at->tv_sec = whole / 1000000000ll;
        at->tv_nsec = whole % 1000000000ll;
    }
    return done;
}

int gettimeofday(struct timeval *restrict at, void *restrict zone)
{
    struct timespec now;
    (void)zone;
    clock_gettime(CLOCK_REALTIME, &now);
    at->tv_sec = now.tv_sec;
    at->tv_usec = now.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *at)
{
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (at)
        *at = now.tv_sec;
    return now.tv_sec;
}

/* --- sockets --- */

int accept(int file, struct sockaddr *restrict from, socklen_t *restrict size)
{
    return inject_error(ACCEPT_ERRNO, ACCEPT_PERMILLE) ? -1 : REAL(accept)(file, from, size);
}

int accept4(int file, struct sockaddr *restrict from, socklen_t *restrict size, int flags)
{
    return inject_error(ACCEPT_ERRNO, ACCEPT_PERMILLE) ? -1 : REAL(accept4)(file, from, size, flags);
}

int socket(int domain, int kind, int protocol)
{
    if (domain != AF_UNIX && inject_error(SOCKET_ERRNO, SOCKET_PERMILLE))
        return -1;
    return REAL(socket)(domain, kind, protocol);
}

int connect(int file, const struct sockaddr *to, socklen_t size)
{
    return inject_error(CONNECT_ERRNO, CONNECT_PERMILLE) ? -1 : REAL(connect)(file, to, size);
}

static size_t shortened(size_t size) { return size > 1 ? 1 + state % (size > 7 ? 7 : size - 1) : size; }

ssize_t read(int file, void *into, size_t size)
{
    if (page && is_stream(file)) {
        if (draw(EINTR_PERMILLE)) {
            errno = EINTR;
            return -1;
        }
        if (draw(SHORT_READ_PERMILLE))
            size = shortened(size);
    } else if (page && file >= 0 && file < MAX_FILES && is_tracked[file] && inject_error(DISK_ERRNO, DISK_PERMILLE))
        return -1;
    return REAL(read)(file, into, size);
}

ssize_t recv(int file, void *into, size_t size, int flags)
{
    if (page && draw(SHORT_READ_PERMILLE))
        size = shortened(size);
    return REAL(recv)(file, into, size, flags);
}

ssize_t write(int file, const void *from, size_t size)
{
    if (page && file >= 0 && file < MAX_FILES && is_tracked[file]) {
        if (field_value(DISK_KILL)) {
            REAL(write)(file, from, size / 2);
            _exit(137);
        }
        if (inject_error(DISK_ERRNO, DISK_PERMILLE))
            return -1;
    } else if (page && is_stream(file)) {
        if (draw(EINTR_PERMILLE)) {
            errno = EINTR;
            return -1;
        }
        if (draw(SHORT_WRITE_PERMILLE))
            size = shortened(size);
    }
    return REAL(write)(file, from, size);
}

ssize_t writev(int file, const struct iovec *parts, int count)
{
    if (page && count > 0 && is_stream(file) && draw(SHORT_WRITE_PERMILLE))
        return REAL(write)(file, parts[0].iov_base, shortened(parts[0].iov_len));
    return REAL(writev)(file, parts, count);
}

ssize_t sendmsg(int file, const struct msghdr *message, int flags)
{
    if (page && message->msg_iovlen > 0 && message->msg_controllen == 0 && is_stream(file) && draw(SHORT_WRITE_PERMILLE))
        return REAL(write)(file, message->msg_iov[0].iov_base, shortened(message->msg_iov[0].iov_len));
    return REAL(sendmsg)(file, message, flags);
}

/* --- files below one folder --- */

static int is_in_folder(const char *path) { return folder && path && strncmp(path, folder, strlen(folder)) == 0; }

static int track_file(int file, const char *path)
{
    if (file >= 0 && file < MAX_FILES)
        is_tracked[file] = (unsigned char)is_in_folder(path);
    return file;
}

#define OPEN(name)                                                            \
    int name(const char *path, int flags, ...)                                \
    {                                                                         \
        va_list more;                                                         \
        va_start(more, flags);                                                \
        mode_t mode = flags & (O_CREAT | O_TMPFILE) ? va_arg(more, mode_t) : 0; \
        va_end(more);                                                         \
        if (is_in_folder(path) && inject_error(DISK_ERRNO, DISK_PERMILLE))    \
            return -1;                                                        \
        return track_file(REAL(name)(path, flags, mode), path);               \
    }
OPEN(open)
OPEN(open64)

int close(int file)
{
    if (file >= 0 && file < MAX_FILES)
        is_tracked[file] = 0;
    return REAL(close)(file);
}

int fsync(int file)
{
    if (file >= 0 && file < MAX_FILES && is_tracked[file] && inject_error(DISK_ERRNO, DISK_PERMILLE))
        return -1;
    return REAL(fsync)(file);
}

int rename(const char *from, const char *to)
{
    if (is_in_folder(from) && inject_error(DISK_ERRNO, DISK_PERMILLE))
        return -1;
    return REAL(rename)(from, to);
}
