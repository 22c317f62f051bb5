/** Types of a node's settings. */
import type { z } from 'zod'
import type { nodeSettingsSchema } from './schema.ts'

/** Content of the settings file, with all defaults filled in. */
export type SettingsFile = z.output<typeof nodeSettingsSchema>

/** The settings of one node, with the resolved peer key. */
export interface NodeSettings extends Omit<SettingsFile, 'peers'> {
  peers: Omit<SettingsFile['peers'], 'key' | 'keyFile'> & {
    /** Secret that all nodes share. It must never be logged. */
    key: string
  }
}
