#include "Core/RandomGenerator.h"

#include <cassert>

namespace Lavendervane {

uint64_t RandomGenerator::next()
{
    this->state += 0x9e3779b97f4a7c15ULL;
    uint64_t value = this->state;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

uint64_t RandomGenerator::below(uint64_t bound)
{
    assert(bound > 0);
    return this->next() % bound;
}

} // namespace Lavendervane
