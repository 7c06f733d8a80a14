#include "base.h"

#include <limits.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

/* Buffer for lines that stderr does not accept; some thousand lines. */
#define PENDING_BYTES_MAX ((size_t)256 << 10)
#define RATE_SLOTS 64
#define DEFAULT_LINES_PER_S 20 /* of one event without its own budget */
#define BUDGETS_MAX 16

/* Lines of an event and level in the current window of one second. Events
 * whose hashes share a slot replace each other's window. */
struct rate_slot {
    uint64_t hash;
    int64_t window_start_ms;
    int written;
    int64_t suppressed;
};

static const char *const level_names[] = {"debug", "info", "warn", "error"};
static enum log_level min_level = LOG_INFO;
static char process_name[NAME_SIZE] = "-";
static struct rate_slot rate_slots[RATE_SLOTS];
static struct buf pending; /* lines not yet accepted by stderr */

static struct counter dropped_total = {"parsleyfall_log_dropped_total",
                                       "Lines dropped as nobody read the log.",
                                       NULL, COUNTER_TOTAL};

/* Events with another limit than DEFAULT_LINES_PER_S. */
static struct {
    const char *event;
    int lines;
} budgets[BUDGETS_MAX];
static size_t budget_count;

/* Sets the number of lines that an event may write within a second. */
int
Log_SetBudget(const char *event, int lines)
{
    if (budget_count == BUDGETS_MAX) {
        return ERR_NOMEM;
    }
    budgets[budget_count].event = event;
    budgets[budget_count++].lines = lines;
    return ERR_OK;
}

/* Number of lines that an event may write within a second. */
static int
lines_per_second(const char *event)
{
    for (size_t i = 0; i < budget_count; i++) {
        if (strcmp(budgets[i].event, event) == 0) {
            return budgets[i].lines;
        }
    }
    return DEFAULT_LINES_PER_S;
}

/* Sets the lowest level that is written. */
void
Log_SetLevel(enum log_level level)
{
    min_level = level;
}

/* Sets the process name that every line has. */
void
Log_SetProcess(const char *name)
{
    Str_Copy(process_name, sizeof(process_name), name);
}

/* Writes a value, quoted and escaped when it is empty or has white space,
 * double quotes, '=' or backslashes. */
static void
append_value(struct buf *b, const char *s)
{
    if (*s != '\0' && strpbrk(s, " \t\r\n\"=\\") == NULL) {
        Buf_AppendStr(b, s);
        return;
    }
    Buf_AppendStr(b, "\"");
    for (; *s != '\0'; s++) {
        if (*s == '"' || *s == '\\') {
            Buf_Printf(b, "\\%c", *s);
        }
        else if ((unsigned char)*s < 0x20) {
            Buf_Printf(b, "\\x%02x", (unsigned)(unsigned char)*s);
        }
        else {
            Buf_Append(b, s, 1);
        }
    }
    Buf_AppendStr(b, "\"");
}

/* Decides whether a line is suppressed. Returns -1 if it is, else the number
 * of lines suppressed before, to be reported in this one. Without a limit, a
 * failing link writes thousands of equal lines a second, in which the line
 * with the cause gets lost. */
static int64_t
check_rate(enum log_level level, const char *event)
{
    uint64_t hash = Hash_Str(event, (uint64_t)level);
    struct rate_slot *slot = &rate_slots[hash % RATE_SLOTS];
    int64_t now = Clock_NowMs();
    int64_t suppressed = 0;

    if (level == LOG_ERROR) {
        return 0;
    }
    if (slot->hash != hash || now - slot->window_start_ms >= 1000) {
        suppressed = slot->hash == hash ? slot->suppressed : 0;
        *slot = (struct rate_slot){hash, now, 0, 0};
    }
    if (slot->written >= lines_per_second(event)) {
        slot->suppressed++;
        return -1;
    }
    slot->written++;
    return suppressed;
}

/* Writes as much of the pending lines as stderr accepts without blocking. A
 * pipe that poll reports as writable accepts PIPE_BUF bytes without blocking.
 */
static void
flush_pending(void)
{
    struct pollfd fd = {.fd = STDERR_FILENO, .events = POLLOUT};
    size_t done = 0;

    while (done < pending.len && poll(&fd, 1, 0) == 1 &&
           (fd.revents & POLLOUT) != 0) {
        size_t n = pending.len - done;
        ssize_t n_written = write(STDERR_FILENO, pending.data + done,
                                  n < PIPE_BUF ? n : PIPE_BUF);

        if (n_written <= 0) {
            break;
        }
        done += (size_t)n_written;
    }
    if (done > 0) {
        memmove(pending.data, pending.data + done, pending.len - done);
        pending.len -= done;
    }
}

/* Writes a line, or buffers it until stderr accepts it. If the reader of the
 * log stops reading, a blocking write would stop the process and delay all its
 * callers. The buffer is bounded; lines beyond it are dropped and counted. */
static void
write_line(const struct buf *line)
{
    flush_pending();
    if (pending.len + line->len > PENDING_BYTES_MAX) {
        Counter_Add(&dropped_total, 1);
        return;
    }
    Buf_Append(&pending, line->data, line->len);
    flush_pending();
}

/* Writes one event as one line. */
void
Log_Event(enum log_level level, const char *event, const struct log_kv *kv,
          size_t n)
{
    struct buf line CLEANUP(Buf_Free) = {0};
    int64_t wall_ms = Clock_WallMs();
    time_t wall_s = wall_ms / 1000;
    int64_t suppressed;
    struct tm tm;
    char timestamp[32];
    size_t i;

    if (level < min_level || (suppressed = check_rate(level, event)) < 0) {
        return;
    }
    gmtime_r(&wall_s, &tm);
    strftime(timestamp, sizeof(timestamp), "%Y-%m-%dT%H:%M:%S", &tm);
    Buf_Printf(&line, "time=%s.%03dZ level=%s proc=%s event=%s", timestamp,
               (int)(wall_ms % 1000), level_names[level], process_name, event);
    for (i = 0; i < n; i++) {
        Buf_Printf(&line, " %s=", kv[i].key);
        if (kv[i].text != NULL) {
            append_value(&line, kv[i].text);
        }
        else {
            Buf_Printf(&line, "%lld", (long long)kv[i].number);
        }
    }
    if (suppressed > 0) {
        Buf_Printf(&line, " repeated=%lld", (long long)suppressed);
    }
    Buf_AppendStr(&line, "\n");
    write_line(&line);
}
