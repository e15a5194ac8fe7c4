/** Feeds the decisions on contention with what this instance knows, and logs and counts them. */
package io.bilberrygrade.serving.contention;
