export * as binaryHeap from './binary_heap.js';
export * as createBaselinePlacer from './create_baseline_placer.js';
export * as createPlacer from './create_placer.js';
export * as placer from './placer.js';
