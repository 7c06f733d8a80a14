#include "wire.h"

#include <string.h>
#include <zmq.h>

#define KEY_TEXT_LEN 40 /* characters of a key in Z85 */
#define KEY_BYTES 32
#define KEY_FILE_MAX 256

/* Reads one key from the first line of a file. */
static int
read_key(const char *path, char out[KEY_TEXT_LEN + 1])
{
    struct buf text CLEANUP(Buf_Free) = {0};
    uint8_t raw[KEY_BYTES];
    int err = File_Read(path, KEY_FILE_MAX, &text);
    size_t len;

    if (err != ERR_OK) {
        return err;
    }
    len = text.data ? strcspn(text.data, "\r\n") : 0;
    if (len != KEY_TEXT_LEN) {
        return ERR_INVALID;
    }
    memcpy(out, text.data, KEY_TEXT_LEN);
    out[KEY_TEXT_LEN] = '\0';
    return zmq_z85_decode(raw, out) != NULL ? ERR_OK : ERR_INVALID;
}

/* Reads the key pair of a deployment. */
int
Link_LoadKeys(const char *public_file, const char *secret_file,
              struct link_keys *out)
{
    int err;

    *out = (struct link_keys){0};
    if (public_file == NULL && secret_file == NULL) {
        return ERR_OK;
    }
    if (public_file == NULL || secret_file == NULL) {
        return ERR_INVALID;
    }
    err = read_key(public_file, out->public_key);
    if (err == ERR_OK) {
        err = read_key(secret_file, out->secret_key);
    }
    if (err != ERR_OK) {
        LOG_E("link_keys_unreadable", KV("public", public_file),
              KV("secret", secret_file), KV("error", Err_Name(err)));
        *out = (struct link_keys){0};
        return err;
    }
    memcpy(out->server_public, out->public_key, sizeof(out->server_public));
    return ERR_OK;
}
