/**
 * Types of the store from which backend servers download the weights of
 * versions. All downloads share its bandwidth.
 */
import type { Result } from 'true-myth'
import type { CyclamenError } from '../../errors/index.ts'
import type { VersionId } from '../../ids/index.ts'

/** Current load and bandwidth of the store. */
export interface WeightStoreStatus {
  downloads: number
  maxBytesPerSecond: number
}

/** The functions of the weight store. */
export interface WeightStore {
  status: (deadlineAtMs: number) => Promise<Result<WeightStoreStatus, CyclamenError>>
  /** Size of a version's weights, in bytes. */
  sizeBytes: (version: VersionId, deadlineAtMs: number) => Promise<Result<number, CyclamenError>>
  close: () => Promise<void>
}
