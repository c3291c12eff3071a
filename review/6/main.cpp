// A service with `sync_replicas` 1 loses its primary for 0.6 s, six times. The primary is back while its replacement,
// which has been ordered, has not taken the lead yet.
#include "../harness-2.h"

#include <cmath>
#include <random>

using namespace Review;

static constexpr int crashCount = 6;
static constexpr auto crashTime = 600ms; // srv_crash in the site file lasts up to 7 s

int main(int count, char** arguments)
{
    if (count < 2)
        return 2;
    recordSlot() = std::make_unique<Record>(arguments[1]);
    const std::string folder = makeFolder();
    Store store(makeIp(200));
    Group group;
    group.name = "range-core";
    group.syncReplicas = 1;
    const std::vector<std::string> zones { "colombo-a", "colombo-b", "gampaha" };
    for (size_t index = 0; index < 3; ++index)
        group.databases.push_back(std::make_unique<Database>(group, store, "i-7f3a91c" + std::to_string(index),
            makeIp(100 + static_cast<unsigned>(index)), zones[index]));
    Database& primary = *group.databases[0];
    // As the site file states the lag of replicas: 20 ms on average, spread 0.6, at most 120 ms. It changes twice a
    // second, for each replica by itself.
    std::mt19937_64 random(std::random_device {}());
    std::map<const Database*, std::pair<Clock::time_point, Clock::duration>> lags;
    for (const auto& database : group.databases)
        database->receiveDelay = [&random, &lags, replica = database.get()] {
            auto& [until, lag] = lags[replica];
            if (Clock::now() >= until) {
                std::lognormal_distribution<double> drawn(std::log(20.0) - 0.18, 0.6);
                lag = std::chrono::duration_cast<Clock::duration>(
                    std::chrono::duration<double, std::milli>(std::min(120.0, drawn(random))));
                until = Clock::now() + 500ms;
            }
            return lag;
        };
    group.leader = &primary;
    Cloud cloud(makeIp(201), { &group });
    store.put("op", "config", configurationText(7, { { "booking", "range-core", "primary" } }, { &group }));
    for (const auto& database : group.databases)
        database->start();

    std::vector<std::unique_ptr<Machine>> machines;
    std::vector<std::string> ips;
    for (unsigned index = 0; index < 6; ++index) {
        ips.push_back(makeIp(11 + index));
        machines.push_back(std::make_unique<Machine>("front-" + zones[index % 3] + "-" + std::to_string(index / 3 + 1),
            zones[index % 3], ips.back(), folder, store.address(), cloud.address()));
        machines.back()->start();
    }
    if (!waitUntilReady(machines)) {
        std::cerr << "the machines do not become ready\n";
        return 2;
    }

    // Clients write one statement after the other, each with a new id.
    std::map<std::string, double> acknowledged; // by id of the write
    uint64_t lastWrite = 0;
    std::vector<std::shared_ptr<Client>> clients;
    bool isEnding = false;
    std::function<void(const std::shared_ptr<Client>&)> writeNext = [&](const std::shared_ptr<Client>& client) {
        if (isEnding)
            return;
        if (!client->isOpen()) {
            client->open([&, client] { writeNext(client); });
            return;
        }
        const std::string id = "w" + std::to_string(++lastWrite);
        client->query(id, "WRITE 1a4 data" + id, [&, client, id](const Outcome& outcome) {
            if (!outcome.isBroken && outcome.code.empty())
                acknowledged[id] = record().seconds();
            after(outcome.isBroken || !outcome.code.empty() ? 200ms : 20ms, [&, client] { writeNext(client); });
        });
    };
    for (size_t index = 0; index < 12; ++index) {
        clients.push_back(std::make_shared<Client>(ips, index, "booking", "k1a"));
        writeNext(clients.back());
    }

    std::set<std::string> lost;
    group.onPromoted = [&](Database& promoted) {
        for (const auto& [id, time] : acknowledged) {
            if (promoted.contains(id) || !lost.insert(id).second)
                continue;
            record().write("LOST: " + id + ", acknowledged to its client at " + std::to_string(time)
                + " s, is not in the log of " + promoted.id + ", which has been promoted");
        }
    };
    context().run_for(5s);
    const size_t before = acknowledged.size();
    for (int time = 0; time < crashCount; ++time) {
        if (hasTrouble()) {
            Database& crashed = *group.leader;
            crashed.crash();
            after(crashTime, [&] { crashed.comeBack(); });
        }
        context().run_for(9s);
    }
    isEnding = true;
    context().run_for(1s);
    bool allRun = true;
    for (auto& machine : machines)
        allRun = allRun && machine->isRunning();
    record().write("acknowledged " + std::to_string(before) + " writes before the disruption, "
        + std::to_string(acknowledged.size()) + " in all; lost " + std::to_string(lost.size()));
    std::cout << "acknowledged " << acknowledged.size() << " writes, " << lost.size()
              << " of them not in the log of the database that was promoted\n";
    for (const auto& client : clients)
        client->close();
    machines.clear();
    record().flush();
    if (std::getenv("REVIEW_KEEP"))
        std::cout << folder << '\n';
    else
        std::system(("rm -rf " + folder).c_str());
    if (!allRun || before < 50)
        return 2;
    return lost.empty() ? 0 : 1;
}
