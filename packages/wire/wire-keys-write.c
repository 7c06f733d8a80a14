#include "wire.h"

#include <errno.h>
#include <fcntl.h>
#include <unistd.h>
#include <zmq.h>

#define KEY_TEXT_LEN 40 /* characters of a key in Z85 */

/* Writes one key into a new file. */
static int
write_key(const char *path, const char *key, mode_t mode)
{
    int fd = open(path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, mode);
    bool good;

    if (fd < 0) {
        return errno == EEXIST ? ERR_EXISTS : ERR_IO;
    }
    good = write(fd, key, KEY_TEXT_LEN) == KEY_TEXT_LEN &&
           write(fd, "\n", 1) == 1;
    return close(fd) == 0 && good ? ERR_OK : ERR_IO;
}

/* Generates a key pair and writes it to two new files. */
int
Link_WriteKeys(const char *public_file, const char *secret_file)
{
    char public_key[KEY_TEXT_LEN + 1], secret_key[KEY_TEXT_LEN + 1];
    int err;

    if (zmq_curve_keypair(public_key, secret_key) != 0) {
        return ERR_IO;
    }
    err = write_key(secret_file, secret_key, S_IRUSR | S_IWUSR);
    if (err != ERR_OK) {
        return err;
    }
    return write_key(public_file, public_key, S_IRUSR | S_IWUSR | S_IRGRP);
}
