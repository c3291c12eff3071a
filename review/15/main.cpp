// Case 15: callers come one after the other, keep large values in their sessions, run one read each and leave. The
// platform kills a process that exceeds its memory and starts it again.
#include "../harness-3.h"

using namespace review3;

static constexpr size_t memoryBytes = size_t { 182 } << 20;
static constexpr size_t valueBytes = 1'000'000;
static constexpr int64_t playMs = 85'000;

static int play(Deployment& deployment)
{
    Record& record = deployment.record;
    deployment.service.recordsReads = false;
    deployment.service.workMs = 10;
    deployment.configure(1, Json::array({ Deployment::tenant("desk", { "k1a" }) }));
    if (!deployment.start()) {
        record.note("the processes did not become ready");
        return 2;
    }
    std::mutex mutex;
    std::map<std::string, size_t> ends;
    std::atomic<bool> isStopping { false };
    size_t highest = 0;
    const auto affected = [&] {
        const Lock lock(mutex);
        return std::count_if(ends.begin(), ends.end(), [](const auto& entry) { return entry.second >= 3; });
    };
    std::thread platform([&] {
        std::map<std::string, int64_t> startAt;
        int64_t nextLine = steadyMs();
        while (!isStopping) {
            const bool isDue = steadyMs() >= nextLine;
            for (const auto& machine : deployment.machines) {
                if (startAt.count(machine->name)) {
                    if (steadyMs() >= startAt[machine->name]) {
                        startAt.erase(machine->name);
                        machine->start();
                        record.line("machine " + machine->name + " starts again");
                    }
                    continue;
                }
                const size_t resident = machine->residentBytes();
                highest = std::max(highest, resident);
                if (isDue)
                    record.line("machine " + machine->name + " holds " + std::to_string(resident >> 20) + " MiB");
                const bool hasEnded = machine->hasEnded();
                if (!hasEnded && resident <= memoryBytes)
                    continue;
                machine->kill();
                const Lock lock(mutex);
                ++ends[machine->name];
                startAt[machine->name] = steadyMs() + 1000;
                record.line("machine " + machine->name
                    + (hasEnded ? " has ended by itself" : " exceeds memory_mb and is killed, " + std::to_string(resident)));
            }
            if (isDue)
                nextLine = steadyMs() + 1000;
            sleepMs(10);
        }
    });
    std::atomic<uint64_t> number { 0 };
    std::atomic<uint64_t> served { 0 };
    std::atomic<uint64_t> failed { 0 };
    const int64_t begin = steadyMs();
    const auto play = [&](const std::string& ip, const std::string& database) {
        while (steadyMs() - begin < playMs && affected() < 2) {
            // Usual traffic: callers at the same time, with short statements.
            std::vector<std::thread> threads;
            for (size_t index = 0; index < 60; ++index)
                threads.emplace_back([&] {
                    Client client;
                    if (!client.connectTo(ip, database, "k1a").isDone())
                        return;
                    for (int count = 0; count < 30 && client.isOpen(); ++count)
                        client.query("r" + std::to_string(++number), "READ item");
                });
            for (std::thread& thread : threads)
                thread.join();
            for (int caller = 0; caller < 50 && affected() < 2; ++caller) {
                Client client;
                if (!client.connectTo(ip, database, "k1a").isDone()) {
                    ++failed;
                    sleepMs(100);
                    continue;
                }
                bool isDone = true;
                for (int value = 0; value < 4 && isDone; ++value)
                    isDone = client
                                 .query("v" + std::to_string(++number),
                                     "SET v" + std::to_string(value) + " "
                                         + std::string(
                                             hasTrouble() ? valueBytes : 40, static_cast<char>('a' + caller % 26)))
                                 .isDone();
                const Answer answer
                    = isDone ? client.query("r" + std::to_string(++number), "READ item") : Answer { "NONE", "" };
                ++(answer.isDone() ? served : failed);
                record.line("caller " + std::to_string(caller) + " of " + database + " has set 4 values and read: "
                    + answer.code + " " + answer.text);
            }
        }
    };
    std::thread other([&] { play(deployment.machines[2]->ip, "db-bounded_staleness"); });
    play(deployment.machines[1]->ip, "db-primary");
    other.join();
    isStopping = true;
    platform.join();
    std::string names;
    for (const auto& [name, count] : ends)
        names += " " + name + " " + std::to_string(count);
    record.note(std::to_string(served) + " callers with values served, " + std::to_string(failed)
        + " failed, highest memory " + std::to_string(highest >> 20) + " MiB after "
        + std::to_string((steadyMs() - begin) / 1000) + " s");
    if (!served) {
        record.note("no caller was served");
        return 2;
    }
    record.note(names.empty() ? "no process ended" : "processes ended:" + names);
    if (affected() < 2)
        return 0;
    record.note("Fault: the processes of two machines or more ended three times");
    return 1;
}

int main() { return runCase("review/15/record.txt", 0, 2, play); }
