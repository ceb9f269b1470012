#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace pimentopoint {

class MemoryCharge;

/// \class MemoryBudget
/// \ingroup Core
/// \brief Limits the memory that many holders use together: while the limit is exceeded, the holder with the most memory must free it.
/// \details Each holder states what it uses through a MemoryCharge. Small holders are thus unaffected by large ones. The budget must outlive its charges.
class MemoryBudget {
public:
    explicit MemoryBudget(std::size_t limitBytes)
        : m_limitBytes(limitBytes)
    {
    }
    MemoryBudget(const MemoryBudget&) = delete;
    MemoryBudget& operator=(const MemoryBudget&) = delete;

    std::size_t limitBytes() const { return m_limitBytes; }
    /// \returns the memory that all holders use
    std::size_t usedBytes() const { return m_usedBytes; }
    /// \returns how often a holder had to free its memory
    std::uint64_t releases() const { return m_releases; }

private:
    friend class MemoryCharge;

    /// Sets \a charge to \a bytes, then ends the largest charges until the limit holds.
    void update(MemoryCharge& charge, std::size_t bytes);
    void setBytes(MemoryCharge& charge, std::size_t bytes);

    std::size_t m_limitBytes;
    std::size_t m_usedBytes = 0;
    std::uint64_t m_releases = 0;
    std::vector<MemoryCharge*> m_charges; ///< Charges above 0, in no order.
};

} // namespace pimentopoint
