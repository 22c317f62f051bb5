/** What engines of a machine class can do, before anything was learned of them. */
import type { EngineProfile } from '../routing/index.ts'

const defaultProfile: EngineProfile = { prefillMsPerToken: 0.1, slots: 32, serviceMs: 5_000 }

/** The profile of a machine class; classes that aren't known start from a middling one. */
export function engineProfileOf (_machineClass: string): EngineProfile {
  return defaultProfile
}
