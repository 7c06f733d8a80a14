/* A deployment for the tests of epochs: the fake platform, entries as
 * processes, and operators that read and change the document. */
#ifndef EPOCHS_SUPPORT_H
#define EPOCHS_SUPPORT_H

#include "base.h"
#include "harness.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace epochs {

inline std::string
HashOf(const std::string &token)
{
    char hex[DIGEST_HEX_SIZE];

    return Digest_Hex(token.data(), token.size(), hex);
}

/* Builds a document; tests tell its versions apart by the weight. */
inline std::string
Document(int weight, const std::string &guarantees = "")
{
    return "version: 1\nweights: {completion: 70, fragmentation: 30}\n"
           "topology: {regions: [{name: r, failure_domains: [\n"
           " {name: d1, racks: [{name: k1, workers: [\n"
           "  {name: w1, accelerators: 8}, {name: w2, accelerators: 8}]}]},\n"
           " {name: d2, racks: [{name: k1, workers: [\n"
           "  {name: w3, accelerators: 8}]}]}]}]}\n"
           "operators:\n"
           " - {name: amal, token_hashes: [" +
           HashOf("token-amal") + "]}\n - {name: badr, token_hashes: [" +
           HashOf("token-badr") +
           "]}\norganisations:\n - name: a\n   weight: " +
           std::to_string(weight) + "\n   token_hashes: [" +
           HashOf("token-a") + "]\n" + guarantees +
           "classes: [{name: q, kind: request, repeatable: false,"
           " deadline_ms: 1000}]\n"
           "services: [{name: s, organisations: [a], classes: [q]}]\n";
}

/* An entry as a process, and an operator's calls to it. */
class Entry {
  public:
    Entry(const harness::TempDir &dir, const harness::Fake &platform,
          const std::string &name, const std::string &document,
          const std::string &more = "")
        : process(dir, "parsleyfall",
                  {"serve",
                   dir.Write(name + ".yaml",
                             Settings(dir, platform, name, document) + more)},
                  name + std::to_string(++started))
    {
        harness::WaitFor([this] { return !Field(" http=").empty(); });
    }

    std::string Url(const std::string &path) const
    {
        return "http://127.0.0.1:" + Field(" http=") + path;
    }
    std::string Links() const
    {
        return Field(" links=");
    }
    harness::Reply Get(const std::string &path,
                       const std::string &token = "token-amal") const
    {
        return harness::Http("GET", Url(path), "", Bearer(token));
    }
    harness::Reply Put(const std::string &text, const std::string &etag,
                       const std::string &token = "token-amal",
                       int64_t timeout_ms = 40000) const
    {
        std::vector<std::string> headers = Bearer(token);

        if (!etag.empty()) {
            headers.push_back("If-Match: " + etag);
        }
        return harness::Http("PUT", Url("/v1/config"), text, headers,
                             timeout_ms);
    }
    std::string Etag() const
    {
        harness::Reply r = Get("/v1/config");

        return r.status == 200 ? r.headers["etag"] : "";
    }
    int64_t Epoch() const
    {
        harness::Reply r = Get("/v1/config/head");

        return r.status == 200 ? harness::Number(r.json().get(), "epoch") : -1;
    }
    bool Reaches(int64_t epoch) const
    {
        return harness::WaitFor([&] { return Epoch() == epoch; });
    }

    harness::Process process;

  private:
    /* Processes append to their logs, so each start gets its own log file. */
    static inline int started;

    static std::vector<std::string> Bearer(const std::string &token)
    {
        std::vector<std::string> headers;

        if (!token.empty()) {
            headers.push_back("Authorization: Bearer " + token);
        }
        return headers;
    }
    static std::string Settings(const harness::TempDir &dir,
                                const harness::Fake &platform,
                                const std::string &name,
                                const std::string &document)
    {
        std::string text =
            "name: " + name +
            "\nregion: r\nfailure_domain: d1\nlisten: {address: 127.0.0.1, "
            "http_port: 0, link_port: 0}\nplatform: {table_url: " +
            platform.Url() + ", objects_url: " + platform.Url() +
            "}\ndrain_ms: 5000\nlimits: {deadline_ms_max: 5000}\n";

        if (!document.empty()) {
            text += "configuration_file: " +
                    dir.Write(name + "-document.yaml", document) + "\n";
        }
        return text;
    }
    /* Returns a value of the log line with the ports. */
    std::string Field(const std::string &key) const
    {
        std::string log = process.Err();
        size_t line = log.find("event=listening");
        size_t end = line == std::string::npos ? line : log.find('\n', line);

        if (end == std::string::npos) {
            return "";
        }
        log = log.substr(line, end - line) + " ";
        size_t at = log.find(key);
        if (at == std::string::npos) {
            return "";
        }
        at += key.size();
        return log.substr(at, log.find(' ', at) - at);
    }
};

/* A test with a fake platform and entries that use it. */
class Deployment : public testing::Test {
  protected:
    std::unique_ptr<Entry> Start(const std::string &name,
                                 const std::string &document = Document(1))
    {
        return std::make_unique<Entry>(dir, platform, name, document);
    }
    void Faults(const std::string &json)
    {
        ASSERT_EQ(200,
                  harness::Http("PUT", platform.Url("/faults"), json).status);
    }
    std::string Rows(const std::string &table)
    {
        return harness::Http("GET", platform.Url("/rows?table=" + table)).body;
    }
    bool HasHistory(int epoch)
    {
        char key[48];

        snprintf(key, sizeof(key), "history/%016d", epoch);
        return Rows("config").find(key) != std::string::npos;
    }

    harness::TempDir dir;
    harness::Fake platform{dir, "fake-platform"};
};

} /* namespace epochs */

#endif
