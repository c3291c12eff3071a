#pragma once

#include <boost/process/child.hpp>

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace Lavendervane {

/// A program of the build folder that a test runs. The destructor kills it.
class ChildProcess {
public:
    /// Starts `program` from the build folder, or from an absolute path. Its standard output and standard error go to
    /// `logFile`.
    ChildProcess(const std::string& program, const std::vector<std::string>& arguments,
        const std::map<std::string, std::string>& environment, const std::string& logFile);
    ~ChildProcess();

    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    void sendSignal(int number);

    /// Resident memory of the process in bytes; 0 once it has ended.
    size_t residentBytes();

    /// Kills the process and waits for its end.
    void kill();

    /// Returns true until the process has ended.
    bool isRunning();

    /// Returns the exit code. Throws if the process does not end in time.
    int waitForExit(std::chrono::milliseconds limit);

private:
    std::string name;
    boost::process::child child;
};

/// Result of a program that ran to its end.
struct ProgramResult {
    int exitCode = 0;
    std::string output; ///< standard output
    std::string errors; ///< standard error
};

/// Runs a program of the build folder to its end; kills it and throws after 60 s.
ProgramResult runToEnd(const std::string& program, const std::vector<std::string>& arguments,
    const std::map<std::string, std::string>& environment, const std::string& directory);

} // namespace Lavendervane
