// A small deployment for the scripts: the store, one or more services of three databases each, and the machines.
#pragma once

#include "standin.h"

namespace standin {

struct FleetSettings {
    unsigned machines = 2;
    unsigned services = 1;
    DatabaseSettings database;
    std::vector<Json> routes; ///< one list of routes for each service, without `service` and `name`
    Json tenants;
};

class Fleet {
public:
    Fleet(const FleetSettings& settings, Record& record, std::function<void(const Run&)> onRun)
        : prefix(loopbackPrefix())
        , store(prefix + "200")
        , cloud(prefix + "201", record)
    {
        char pattern[] = "/tmp/review-XXXXXX";
        this->folder = mkdtemp(pattern);
        static const std::vector<std::string> zones { "kecskemet", "szeged", "csongrad" };
        this->config = { { "version", 7 }, { "routes", Json::array() }, { "services", Json::array() },
            { "limits",
                { { "max_header_bytes", 16384 }, { "max_body_bytes", 262144 }, { "header_timeout_ms", 3000 },
                    { "idle_timeout_ms", 15000 }, { "tx_idle_ms", 3000 } } },
            { "tenants", settings.tenants } };
        for (unsigned number = 0; number < settings.services; ++number) {
            const std::string service = "vagohid" + std::to_string(number + 1);
            this->config["services"].push_back({ { "name", service }, { "health_path", "/health" },
                { "max_connections", settings.database.maxConnections }, { "protocol", "h1" }, { "tls", false },
                { "sync_replicas", 0 } });
            Json route = settings.routes.at(number);
            route["name"] = "r-" + service;
            route["service"] = service;
            this->config["routes"].push_back(route);
            auto group = std::make_unique<Group>(service, settings.database, onRun);
            for (unsigned index = 0; index < 3; ++index)
                group->databases.push_back(std::make_unique<Database>(*group,
                    "i-" + std::to_string(number + 1) + "f3a91c" + std::to_string(index + 1),
                    this->prefix + std::to_string(100 + 10 * number + index), index == 0));
            this->groups.push_back(std::move(group));
        }
        this->putConfig();
        for (const auto& group : this->groups) {
            for (size_t index = 0; index < group->databases.size(); ++index) {
                const Database& database = *group->databases[index];
                this->store.put("servers", database.id, database.entry(group->name, zones[index]));
            }
        }
        for (unsigned number = 0; number < settings.machines; ++number)
            this->machines.push_back(std::make_unique<Machine>("front-" + zones[number % 3] + "-" + std::to_string(number / 3 + 1),
                zones[number % 3], this->prefix + std::to_string(11 + number), this->folder, this->store, this->cloud.address(),
                zones));
    }

    /// Stops the machines and removes their files. The other parts live until the program ends.
    void stop()
    {
        for (const auto& machine : this->machines)
            machine->end();
        for (const auto& entry : this->files())
            std::remove(entry.c_str());
        rmdir(this->folder.c_str());
    }

    /// Writes the configuration to the store. Returns the time of the store's acknowledgement.
    double putConfig()
    {
        this->store.put("op", "config", this->config);
        return nowMs();
    }

    const std::string prefix;
    std::string folder;
    Store store;
    Cloud cloud;
    Json config;
    std::vector<std::unique_ptr<Group>> groups;
    std::vector<std::unique_ptr<Machine>> machines;

private:
    std::vector<std::string> files() const
    {
        std::vector<std::string> paths;
        for (const char* zone : { "kecskemet", "szeged", "csongrad" }) {
            for (unsigned number = 1; number <= 9; ++number) {
                const std::string path = this->folder + "/front-" + zone + "-" + std::to_string(number);
                paths.push_back(path + ".conf");
                paths.push_back(path + ".log");
            }
        }
        return paths;
    }
};

/// Ends the program without waiting for its threads, after the machines have been stopped.
[[noreturn]] inline void finish(std::unique_ptr<Fleet>& fleet, Record& record, int status, const std::string& text)
{
    record.result(text);
    fleet->stop();
    std::fflush(nullptr);
    _exit(status);
}

} // namespace standin
