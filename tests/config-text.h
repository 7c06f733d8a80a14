// The parts of a valid document, for the tests of config.
#ifndef CONFIG_TEXT_H
#define CONFIG_TEXT_H

#include "config.h"

#include <string>

struct ConfigText {
    std::string topology =
        "topology: {regions: [{name: r, failure_domains: [\n"
        " {name: d1, racks: [{name: k1, workers: [{name: w1, accelerators: 8},"
        " {name: w2, accelerators: 8}]}]},\n"
        " {name: d2, racks: [{name: k1, workers: [{name: w3, accelerators: "
        "4}]}]}]}]}\n";
    std::string operators = "operators: []\n";
    std::string organisations = "organisations: [{name: a}, {name: b}]\n";
    std::string classes =
        "classes: [{name: q, kind: request, repeatable: false, deadline_ms: "
        "10},\n {name: j, kind: job, repeatable: true, deadline_ms: 0}]\n";
    std::string services =
        "services: [{name: s, organisations: [a], classes: [q]}]\n";

    std::string text() const
    {
        return "version: 1\nweights: {completion: 1, fragmentation: 2}\n" +
               topology + operators + organisations + classes + services;
    }
};

// A parsed document, freed at the end of its scope also when it is invalid.
struct ConfigParsed {
    struct config c;
    conf_errors errors = {};
    int rc;

    explicit ConfigParsed(const std::string &text)
        : rc(Config_Parse(text.data(), text.size(), &c, &errors))
    {
    }
    ConfigParsed(const ConfigParsed &) = delete;
    ~ConfigParsed()
    {
        Config_Free(&c);
    }
    std::string mistakes() const
    {
        struct buf out = {};
        Buf_AppendStr(&out, "");
        Conf_Render(&errors, "f", &out);
        std::string text(out.data, out.len);
        Buf_Free(&out);
        return text;
    }
    std::string yaml() const
    {
        struct buf out = {};
        Config_Render(&c, &out);
        std::string text(out.data, out.len);
        Buf_Free(&out);
        return text;
    }
    std::string json() const
    {
        struct buf out = {};
        Config_RenderJson(&c, &out);
        std::string text(out.data, out.len);
        Buf_Free(&out);
        return text;
    }
    std::string diff(const ConfigParsed &other) const
    {
        struct buf out = {};
        Buf_AppendStr(&out, "");
        Config_Diff(&c, &other.c, &out);
        std::string text(out.data, out.len);
        Buf_Free(&out);
        return text;
    }
};

#endif
