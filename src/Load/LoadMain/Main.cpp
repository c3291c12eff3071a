#include "CommandLine/CommandLine.h"
#include "Core/Error.h"
#include "Load/LoadReport.h"
#include "Load/LoadRun.h"
#include "Runtime/BootTime.h"

#include <boost/asio/signal_set.hpp>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

static const char* const usage
    = R"(Sends the requests of a workload to the VMs, open loop, and reports what the callers saw.

Usage:
  lavendervane-load run --workload=FILE --vms=ADDRESSES [options] [--output=FORM] [--key=KEY]... [--scale=SCALE]...
                        [--kill=KILL]...
  lavendervane-load report HISTORY [--output=FORM] [--kill=KILL]...
  lavendervane-load --help

Options:
  --help              Prints this text.
  --workload=FILE     YAML file with the organisations, see deploy/workloads.
  --vms=ADDRESSES     IP:port of the VMs, separated by commas.
  --key=KEY           ORGANISATION=KEY: caller's key, in place of the one in the workload; may be repeated.
  --scale=SCALE       ORGANISATION=FACTOR: multiplies the rate of an organisation; may be repeated.
  --history=FILE      Writes every request as one line of JSON.
  --duration-s=S      Length of the run [default: 10].
  --seed=N            Seed of all random choices [default: 1].
  --run=NAME          Prefix of keys, values and sessions; made from the time by default.
  --connections=N     Connections kept open to each VM [default: 20].
  --timeout-ms=MS     Timeout of a request [default: 5000].
  --output=FORM       "text" or "json" [default: text].
  --kill=KILL         GROUP=NS: time, in ns of the boot clock, at which the primary of the group was killed.
)";

namespace {

using namespace Lavendervane;

std::pair<std::string, std::string> parsePair(const std::string& flag, const std::string& text)
{
    const size_t separator = text.find('=');
    if (separator == std::string::npos)
        throw Error("parse arguments", "", flag + " must be NAME=VALUE, not \"" + text + "\"");
    return { text.substr(0, separator), text.substr(separator + 1) };
}

OrganisationLoad& findOrganisation(Workload& workload, const std::string& flag, const std::string& name)
{
    const auto found = std::find_if(workload.organisations.begin(), workload.organisations.end(),
        [&](const OrganisationLoad& load) { return load.name == name; });
    if (found == workload.organisations.end())
        throw Error("parse arguments", "", flag + ": the workload has no organisation \"" + name + "\"");
    return *found;
}

Workload loadWorkload(const CommandLine& arguments)
{
    std::ifstream file(arguments.text("--workload"));
    if (!file)
        throw Error("read workload", arguments.text("--workload"), "cannot be opened");
    std::ostringstream text;
    text << file.rdbuf();
    Workload workload = parseWorkload(text.str());
    for (const std::string& key : arguments.list("--key")) {
        const auto [name, value] = parsePair("--key", key);
        findOrganisation(workload, "--key", name).key = value;
    }
    for (const std::string& scale : arguments.list("--scale")) {
        const auto [name, value] = parsePair("--scale", scale);
        const double factor = std::strtod(value.c_str(), nullptr);
        if (!(factor > 0))
            throw Error("parse arguments", "", "--scale must be greater than 0, not \"" + value + "\"");
        findOrganisation(workload, "--scale", name).rate *= factor;
    }
    return workload;
}

LoadSettings loadSettings(const CommandLine& arguments)
{
    LoadSettings settings;
    settings.vms = split(arguments.text("--vms"), ',');
    if (settings.vms.empty())
        throw Error("parse arguments", "", "--vms is empty");
    settings.connectionsPerVm = static_cast<uint32_t>(arguments.number("--connections"));
    settings.duration = std::chrono::seconds(arguments.number("--duration-s"));
    settings.timeout = std::chrono::milliseconds(arguments.number("--timeout-ms"));
    settings.seed = arguments.number("--seed");
    settings.run = arguments.text("--run");
    if (settings.run.empty())
        settings.run = "t" + std::to_string(bootTimeNow().time_since_epoch().count() / 1'000'000);
    return settings;
}

void setKills(LoadReport& report, const CommandLine& arguments)
{
    for (const std::string& kill : arguments.list("--kill")) {
        const auto [group, time] = parsePair("--kill", kill);
        report.setKill(group, std::strtoll(time.c_str(), nullptr, 10));
    }
}

void print(const LoadReport& report, const std::string& form)
{
    if (form == "json")
        std::cout << toJson(report.compute()).dump(2) << std::endl;
    else if (form == "text")
        std::cout << toText(report.compute()) << std::flush;
    else
        throw Error("parse arguments", "", "--output must be \"text\" or \"json\", not \"" + form + "\"");
}

int reportHistory(const CommandLine& arguments)
{
    std::ifstream file(arguments.text("HISTORY"));
    if (!file)
        throw Error("read history", arguments.text("HISTORY"), "cannot be opened");
    const History history = readHistory(file);
    LoadReport report;
    setKills(report, arguments);
    for (const auto& [organisation, limit] : history.limits)
        report.setLimit(organisation, limit);
    for (const HistoryEvent& event : history.events)
        report.add(event);
    print(report, arguments.text("--output"));
    return 0;
}

int runLoad(const CommandLine& arguments)
{
    const Workload workload = loadWorkload(arguments);
    std::ofstream history;
    if (const std::string name = arguments.text("--history"); !name.empty()) {
        history.open(name);
        if (!history)
            throw Error("write history", name, "cannot be opened");
    }
    LoadReport report;
    setKills(report, arguments);
    for (const OrganisationLoad& load : workload.organisations) {
        if (!load.limit)
            continue;
        report.setLimit(load.name, *load.limit);
        if (history.is_open())
            history << limitToJson(load.name, *load.limit).dump() << "\n";
    }

    boost::asio::io_context context(1);
    LoadRun run(context, loadSettings(arguments), workload, [&](const HistoryEvent& event) {
        report.add(event);
        if (history.is_open())
            history << toJson(event).dump() << "\n";
    });
    run.start();
    // A signal ends the run early. The requests sent so far are still reported.
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&run](boost::system::error_code error, int) {
        if (!error)
            run.stop();
    });
    run.setFinishedCallback([&signals] { signals.cancel(); });
    context.run();
    if (history.is_open() && !history.flush())
        throw Error("write history", arguments.text("--history"), "the file is incomplete");
    print(report, arguments.text("--output"));
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    return runProgram([=] {
        const CommandLine arguments(usage, argc, argv);
        return arguments.isGiven("report") ? reportHistory(arguments) : runLoad(arguments);
    });
}
