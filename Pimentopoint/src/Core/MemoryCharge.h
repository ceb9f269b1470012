#pragma once

#include <cstddef>
#include <functional>

namespace pimentopoint {

class MemoryBudget;

/// \class MemoryCharge
/// \ingroup Core
/// \brief What one holder of memory uses of a MemoryBudget; 0 at first.
class MemoryCharge {
public:
    /// \param release frees the holder's memory; it is called while another charge is being set, with this one at 0 already, and must set no charge
    MemoryCharge(MemoryBudget& budget, std::function<void()> release);
    ~MemoryCharge();
    MemoryCharge(const MemoryCharge&) = delete;
    MemoryCharge& operator=(const MemoryCharge&) = delete;

    /// Sets the memory that the holder uses; other holders may have to free theirs.
    /// \returns false if this holder must free its own, since the limit is exceeded and no holder has more; the charge is 0 then
    [[nodiscard]] bool set(std::size_t bytes);
    void clear();
    std::size_t bytes() const { return m_bytes; }

private:
    friend class MemoryBudget;

    MemoryBudget& m_budget;
    std::function<void()> m_release;
    std::size_t m_bytes = 0;
    std::size_t m_position = 0; ///< Index in the budget's list while the charge is above 0.
};

} // namespace pimentopoint
