/** The settings of a node as the rest of the system uses them. */
import type { z } from 'zod'
import type { nodeSettingsSchema } from './schema.ts'

/** What the settings file says, with all defaults filled in. */
export type SettingsFile = z.output<typeof nodeSettingsSchema>

/** The settings of one node; the peer key is read from wherever the file points to. */
export interface NodeSettings extends Omit<SettingsFile, 'peers'> {
  peers: Omit<SettingsFile['peers'], 'key' | 'keyFile'> & {
    /** Secret that all nodes share. Never logged. */
    key: string
  }
}
