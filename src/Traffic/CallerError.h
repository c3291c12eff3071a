#pragma once

#include "Core/Error.h"

#include <string>

namespace Lavendervane {

/// Rejection of a request before execution, with an error code for the caller. The outcome is always not_run.
class CallerError : public Error {
public:
    CallerError(std::string code, const std::string& step, const std::string& message)
        : Error(step, "", message)
        , errorCode(std::move(code))
    {
    }

    const std::string& code() const { return this->errorCode; }

private:
    std::string errorCode;
};

} // namespace Lavendervane
