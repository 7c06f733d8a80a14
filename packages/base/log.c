#include "base.h"

#include <limits.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define WAITING_MAX ((size_t)256 << 10) /* some thousand lines */
#define HOLD_SLOTS 64
#define HOLD_AFTER 20 /* lines of one event within a second */
#define BUDGETS_MAX 16

/* How often an event was written in its present second. */
struct hold {
    uint64_t hash;
    int64_t since;
    int written;
    int64_t held;
};

static const char *const words[] = {"debug", "info", "warn", "error"};
static enum log_level lowest = LOG_INFO;
static char process[NAME_SIZE] = "-";
static struct hold holds[HOLD_SLOTS];
static struct buf waiting; /* lines that the reader has not taken yet */

static struct counter dropped_total = {"parsleyfall_log_dropped_total",
                                       "Lines dropped as nobody read the log.",
                                       NULL, COUNTER_TOTAL};

/* Events with another bound than HOLD_AFTER. */
static struct {
    const char *event;
    int lines;
} budgets[BUDGETS_MAX];
static size_t budget_count;

/* Lets an event have so many lines within a second. */
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

/* How many lines of an event may be written within a second. */
static int
budget_of(const char *event)
{
    for (size_t i = 0; i < budget_count; i++) {
        if (strcmp(budgets[i].event, event) == 0) {
            return budgets[i].lines;
        }
    }
    return HOLD_AFTER;
}

/* Sets the lowest level that is written. */
void
Log_SetLevel(enum log_level level)
{
    lowest = level;
}

/* Sets the name that stands on every line. */
void
Log_SetProcess(const char *name)
{
    Str_Copy(process, sizeof(process), name);
}

/* Writes a value, in quotes where a reader would need them. */
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

/* Decides whether a line is held back; returns the count to report, or -1.
 * Without it a failing link writes thousands of equal lines a second, and
 * the line that tells why is lost among them. */
static int64_t
hold_back(enum log_level level, const char *event)
{
    uint64_t hash = Hash_Str(event, (uint64_t)level);
    struct hold *h = &holds[hash % HOLD_SLOTS];
    int64_t now = Clock_NowMs();
    int64_t held = 0;

    if (level == LOG_ERROR) {
        return 0;
    }
    if (h->hash != hash || now - h->since >= 1000) {
        held = h->hash == hash ? h->held : 0;
        *h = (struct hold){hash, now, 0, 0};
    }
    if (h->written >= budget_of(event)) {
        h->held++;
        return -1;
    }
    h->written++;
    return held;
}

/* Writes what waits, as far as the reader takes it without making us wait.
 * A pipe that poll finds writable takes PIPE_BUF bytes at once. */
static void
flush_waiting(void)
{
    struct pollfd fd = {.fd = STDERR_FILENO, .events = POLLOUT};
    size_t done = 0;

    while (done < waiting.len && poll(&fd, 1, 0) == 1 &&
           (fd.revents & POLLOUT) != 0) {
        size_t n = waiting.len - done;
        ssize_t wrote = write(STDERR_FILENO, waiting.data + done,
                              n < PIPE_BUF ? n : PIPE_BUF);

        if (wrote <= 0) {
            break;
        }
        done += (size_t)wrote;
    }
    if (done > 0) {
        memmove(waiting.data, waiting.data + done, waiting.len - done);
        waiting.len -= done;
    }
}

/* Hands a line over, at once or when the reader takes it.
 *
 * Failure: whoever reads our logs stops reading. Symptom: a write waits for
 * it, and with it every caller of this process. Lines therefore wait in a
 * bounded buffer; beyond it they are dropped, and counted. */
static void
write_line(const struct buf *line)
{
    flush_waiting();
    if (waiting.len + line->len > WAITING_MAX) {
        Counter_Add(&dropped_total, 1);
        return;
    }
    Buf_Append(&waiting, line->data, line->len);
    flush_waiting();
}

/* Writes one event as one line. */
void
Log_Event(enum log_level level, const char *event, const struct log_kv *kv,
          size_t n)
{
    struct buf line CLEANUP(Buf_Free) = {0};
    int64_t wall = Clock_WallMs();
    time_t secs = wall / 1000;
    int64_t held;
    struct tm tm;
    char when[32];
    size_t i;

    if (level < lowest || (held = hold_back(level, event)) < 0) {
        return;
    }
    gmtime_r(&secs, &tm);
    strftime(when, sizeof(when), "%Y-%m-%dT%H:%M:%S", &tm);
    Buf_Printf(&line, "time=%s.%03dZ level=%s proc=%s event=%s", when,
               (int)(wall % 1000), words[level], process, event);
    for (i = 0; i < n; i++) {
        Buf_Printf(&line, " %s=", kv[i].key);
        if (kv[i].text != NULL) {
            append_value(&line, kv[i].text);
        }
        else {
            Buf_Printf(&line, "%lld", (long long)kv[i].number);
        }
    }
    if (held > 0) {
        Buf_Printf(&line, " repeated=%lld", (long long)held);
    }
    Buf_AppendStr(&line, "\n");
    write_line(&line);
}
