#include "entry.h"

#include <stdlib.h>
#include <string.h>

#define SUBSCRIBERS_MAX 8

/* config: the document in force. */
struct configs {
    struct task task;
    const struct entry_settings *settings;
    struct in_force *in_force;
    const char *subscribers[SUBSCRIBERS_MAX];
    int subscriber_count;
};

/* Makes a document of text that is right. */
static struct in_force *
make(uint64_t epoch, const struct buf *text, struct conf_errors *errors)
{
    struct in_force *f = Mem_Zero(1, sizeof(*f));

    f->refs = 1;
    f->epoch = epoch;
    if (Config_Parse(text->data, text->len, &f->doc, errors) != ERR_OK) {
        InForce_Unref(f);
        return NULL;
    }
    Buf_Set(&f->text, text->data, text->len);
    Digest_Hex(text->data, text->len, f->hash);
    return f;
}

/* Puts a document in force and tells the other tasks. */
static void
adopt(struct configs *c, struct in_force *f)
{
    int i;

    InForce_Unref(c->in_force);
    c->in_force = f;
    LOG_I("config_adopted", KV_INT("epoch", f->epoch), KV("hash", f->hash));
    for (i = 0; i < c->subscriber_count; i++) {
        struct config_note *note = Mem_Zero(1, sizeof(*note));

        note->in_force = InForce_Ref(f);
        Kernel_Post(Kernel_FindTask(c->task.kernel, c->subscribers[i]),
                    &note->base, &Entry_Config);
    }
}

/* Reads the first document from its file. */
static int
load_first(struct configs *c)
{
    struct conf_errors *errors CLEANUP(Mem_FreeP) =
        Mem_Zero(1, sizeof(*errors));
    struct buf text CLEANUP(Buf_Free) = {0};
    const char *path = c->settings->configuration_file;
    struct in_force *f;
    int err;

    if (path == NULL) {
        return ERR_OK;
    }
    err = File_Read(path, (size_t)4 << 20, &text);
    if (err != ERR_OK) {
        LOG_E("config_unreadable", KV("file", path),
              KV("error", Err_Name(err)));
        return err;
    }
    f = make(1, &text, errors);
    if (f == NULL) {
        struct buf why CLEANUP(Buf_Free) = {0};

        Conf_Render(errors, path, &why);
        LOG_E("config_invalid", KV("errors", why.data));
        return ERR_INVALID;
    }
    adopt(c, f);
    return ERR_OK;
}

/* The document in force, for operators. */
static json_t *
configs_state(const struct task *t)
{
    const struct configs *c = (const struct configs *)t;

    if (c->in_force == NULL) {
        return json_pack("{s:i}", "epoch", 0);
    }
    return json_pack("{s:I, s:s}", "epoch", (json_int_t)c->in_force->epoch,
                     "hash", c->in_force->hash);
}

/* Lets go of the document. */
static void
configs_free(struct task *t)
{
    InForce_Unref(((struct configs *)t)->in_force);
    free(t);
}

static const struct task_ops configs_ops = {
    .name = "config",
    .state = configs_state,
    .free = configs_free,
};

/* Notes that a task wants to hear of documents. */
void
Configs_Subscribe(struct kernel *k, const char *task)
{
    struct configs *c = (struct configs *)Kernel_FindTask(k, "config");

    if (c->subscriber_count == SUBSCRIBERS_MAX) {
        Fatal("too many subscribers to config");
    }
    c->subscribers[c->subscriber_count++] = task;
}

/* Makes the task that others subscribe to. */
static int
start(struct kernel *k)
{
    struct configs *c = Mem_Zero(1, sizeof(*c));

    c->settings = k->settings;
    Kernel_AddTask(k, &c->task, &configs_ops);
    return ERR_OK;
}

/* Puts the first document in force once all have subscribed. */
static int
start_adopt(struct kernel *k)
{
    return load_first((struct configs *)Kernel_FindTask(k, "config"));
}

static struct plugin config_plugin = {
    .name = "config", .rank = 30, .start = start};
KERNEL_PLUGIN(config_plugin)
static struct plugin adopt_plugin = {
    .name = "config-adopt", .rank = 80, .start = start_adopt};
KERNEL_PLUGIN(adopt_plugin)
