#include "Daemon/Daemon.h"
#include "Daemon/DaemonSettings.h"

#include <glog/logging.h>

#include <iostream>
#include <string>
#include <vector>

using namespace Lavendervane;

static int runDaemon(const DaemonArguments& arguments, const char* program)
{
    switch (arguments.action) {
    case DaemonArguments::Action::Help:
        std::cout << daemonUsage();
        return 0;
    case DaemonArguments::Action::Version:
        std::cout << "lavendervaned " << LAVENDERVANE_VERSION << '\n';
        return 0;
    case DaemonArguments::Action::Check:
        std::cout << "the settings are valid\n";
        return 0;
    case DaemonArguments::Action::Run:
        break;
    }
    google::InitGoogleLogging(program);
    FLAGS_logtostderr = true;
    Daemon daemon(arguments.settings);
    return daemon.run();
}

int main(int argumentCount, char** argumentValues)
{
    try {
        return runDaemon(
            parseDaemonArguments({ argumentValues + 1, argumentValues + argumentCount }), argumentValues[0]);
    } catch (const std::exception& error) {
        std::cerr << "lavendervaned: " << error.what() << '\n';
        return 1;
    }
}
