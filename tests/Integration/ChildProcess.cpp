#include "Integration/ChildProcess.h"

#include <boost/process.hpp>

#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include <unistd.h>

namespace Lavendervane {

namespace process = boost::process;

static std::string programPath(const std::string& program)
{
    return (std::filesystem::path(LAVENDERVANE_BINARY_DIR) / program).string();
}

static process::environment makeEnvironment(const std::map<std::string, std::string>& added)
{
    process::environment environment = boost::this_process::environment();
    for (const auto& [name, value] : added)
        environment[name] = value;
    return environment;
}

ChildProcess::ChildProcess(const std::string& program, const std::vector<std::string>& arguments,
    const std::map<std::string, std::string>& environment, const std::string& logFile)
    : name(program)
    , child(programPath(program), process::args(arguments), makeEnvironment(environment),
          (process::std_out & process::std_err) > logFile, process::std_in < process::null)
{
}

ChildProcess::~ChildProcess() { this->kill(); }

void ChildProcess::sendSignal(int number)
{
    if (this->isRunning())
        ::kill(this->child.id(), number);
}

size_t ChildProcess::residentBytes()
{
    std::ifstream status("/proc/" + std::to_string(this->child.id()) + "/statm");
    size_t total = 0;
    size_t resident = 0;
    status >> total >> resident;
    return resident * static_cast<size_t>(sysconf(_SC_PAGESIZE));
}

void ChildProcess::kill()
{
    std::error_code ignored;
    if (this->child.running(ignored))
        this->child.terminate(ignored);
    this->child.wait(ignored);
}

bool ChildProcess::isRunning()
{
    std::error_code ignored;
    return this->child.running(ignored);
}

// child::wait_for of Boost 1.74 waits for SIGCHLD and misses it when several threads wait for children.
static bool waitForEnd(process::child& child, std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    std::error_code ignored;
    while (child.running(ignored)) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return true;
}

int ChildProcess::waitForExit(std::chrono::milliseconds limit)
{
    if (!waitForEnd(this->child, limit))
        throw std::runtime_error(this->name + " did not exit within " + std::to_string(limit.count()) + " ms");
    return this->child.exit_code();
}

static std::string readAll(const std::string& file)
{
    std::ifstream stream(file);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

ProgramResult runToEnd(const std::string& program, const std::vector<std::string>& arguments,
    const std::map<std::string, std::string>& environment, const std::string& directory)
{
    static std::atomic<int> runs = 0;
    const std::string files = directory + "/" + program + "-" + std::to_string(++runs);
    const std::string output = files + ".out";
    const std::string errors = files + ".err";
    process::child child(programPath(program), process::args(arguments), makeEnvironment(environment),
        process::std_out > output, process::std_err > errors, process::std_in < process::null);
    if (!waitForEnd(child, std::chrono::seconds(60))) {
        child.terminate();
        throw std::runtime_error(program + " did not end within 60 s: " + readAll(errors));
    }
    return { child.exit_code(), readAll(output), readAll(errors) };
}

} // namespace Lavendervane
