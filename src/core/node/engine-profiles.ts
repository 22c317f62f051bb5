/** Performance profiles of engines by machine class, used until measurements exist. */
import type { EngineProfile } from '../routing/index.ts'

const defaultProfile: EngineProfile = { prefillMsPerToken: 0.1, slots: 32, slotMs: 5_000 }

/** The profile of a machine class; currently the same average profile for all classes. */
export function engineProfileOf (_machineClass: string): EngineProfile {
  return defaultProfile
}
