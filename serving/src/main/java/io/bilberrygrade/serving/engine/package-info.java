/** Access to model engines. */
package io.bilberrygrade.serving.engine;
