/**
 * The store from which backend servers fetch the weights of versions. Its
 * rate is shared by all downloads.
 */
import type { Result } from 'true-myth'
import type { CyclamenError } from '../../errors/index.ts'
import type { VersionId } from '../../ids/index.ts'

/** How busy the store is. */
export interface WeightStoreStatus {
  downloads: number
  maxBytesPerSecond: number
}

/** The functions of the store. */
export interface WeightStore {
  status: (deadlineAtMs: number) => Promise<Result<WeightStoreStatus, CyclamenError>>
  /** Size of a version's weights, in bytes. */
  sizeBytes: (version: VersionId, deadlineAtMs: number) => Promise<Result<number, CyclamenError>>
  close: () => Promise<void>
}
