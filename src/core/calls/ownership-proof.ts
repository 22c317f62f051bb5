/**
 * Determines whether a shard's owner can be certain that no other node has run its
 * keys. A proof of ownership is valid for `ownershipProofMs`, because a new owner
 * delays its attempts for as long unless the previous owner has released the shard.
 * Only monotonic time is used, so a pause of either process does no harm.
 */
import { valueOrTimeout } from './wait.ts'
import type { Clock } from '../clock/index.ts'

/** Options of an ownership proof. */
export interface OwnershipProofOptions {
  clock: Clock
  ownershipProofMs: number
  /** Monotonic time just before the first proof of ownership was requested. */
  confirmedAtMs: number
  isLost: () => boolean
  /** Asks the other nodes for confirmation when the key-value service is unavailable. */
  confirmWithPeers: () => Promise<boolean>
  /** Asks the previous owner to release the shard; resolves with the time in milliseconds for which to delay attempts from then on. */
  requestRelease: () => Promise<number>
}

/** The proof that this node owns one shard. */
export interface OwnershipProof {
  /** Records a proof of ownership that was requested at the given monotonic time. */
  confirm: (startedAtMs: number) => void
  /** Whether the proof is valid; asks the other nodes for confirmation if it has expired. */
  isValid: () => Promise<boolean>
  /** Resolves when the previous owner's proof has expired or it released the shard, so that attempts are allowed. */
  waitForPreviousOwner: () => Promise<void>
  /** Time for which attempts still have to be delayed. */
  remainingHoldBackMs: () => number
}

/** Time for which a failed confirmation by the other nodes is cached, so that refusals stay fast. */
const failureCacheMs = 500

/** Creates the ownership proof, starting with the one that taking the shard gave. */
export function createOwnershipProof (options: OwnershipProofOptions): OwnershipProof {
  const { clock, ownershipProofMs, isLost } = options
  let confirmedAtMs = options.confirmedAtMs
  let nextPeerCheckAtMs = -Infinity
  let confirming: Promise<void> | undefined
  let holdBackUntilMs = clock.monotonicMs() + ownershipProofMs

  const isFresh = (): boolean => clock.monotonicMs() - confirmedAtMs < ownershipProofMs

  async function askPeers (): Promise<void> {
    const startedAtMs = clock.monotonicMs()
    if (await options.confirmWithPeers()) confirm(startedAtMs)
    else nextPeerCheckAtMs = clock.monotonicMs() + failureCacheMs
    confirming = undefined
  }

  async function isValid (): Promise<boolean> {
    if (!isLost() && !isFresh() && clock.monotonicMs() >= nextPeerCheckAtMs) {
      confirming ??= askPeers()
      await confirming
    }
    return !isLost() && isFresh()
  }

  function confirm (startedAtMs: number): void {
    confirmedAtMs = Math.max(confirmedAtMs, startedAtMs)
  }

  async function holdBack (): Promise<void> {
    const deadlineAtMs = clock.wallMs() + ownershipProofMs
    // If the previous owner doesn't respond, for whatever reason, waiting for the full time is safe.
    const released = options.requestRelease().catch(() => ownershipProofMs)
    const holdBackMs = await valueOrTimeout(clock, released, deadlineAtMs)
    if (holdBackMs !== undefined) holdBackUntilMs = Math.min(holdBackUntilMs, clock.monotonicMs() + holdBackMs)
    const remainingMs = holdBackUntilMs - clock.monotonicMs()
    if (remainingMs > 0) await clock.sleep(remainingMs)
  }

  const holdBackEnded = holdBack()

  return {
    confirm,
    isValid,
    waitForPreviousOwner: () => holdBackEnded,
    remainingHoldBackMs: () => Math.max(0, holdBackUntilMs - clock.monotonicMs())
  }
}
